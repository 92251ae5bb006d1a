/**
 * Planned change: a configuration that withdraws a key.
 */
import { request } from 'undici'
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** The platform's upper bound on the time until a configuration is in force. */
const IN_FORCE_BOUND_MILLISECONDS = 2_000

/** Exclusive upper bound on the number of extra queues in a configuration. */
const EXTRA_QUEUES_LIMIT = 200

/** Moves callers to a new key, and checks that processes refuse the old one within the bound. */
export class KeyWithdrawal extends SoakFault {
  override readonly name = 'key withdrawn'
  override readonly isPlanned = true
  private _newKeyCount = 0

  override async begin (fleet: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const withdrawnKey = fleet.key
    this._newKeyCount += 1
    const publishedAt = Date.now()
    fleet.configure([`key-${this._newKeyCount}`], random.integer(EXTRA_QUEUES_LIMIT))
    await fleet.clock.sleepUntil(publishedAt + IN_FORCE_BOUND_MILLISECONDS)
    for (const node of fleet.nodes.filter(({ isRunning }) => isRunning)) {
      const response = await request(`${node.origin}/q/`, { headers: { host: 'soak.example', authorization: `Bearer ${withdrawnKey}` }, signal: AbortSignal.timeout(IN_FORCE_BOUND_MILLISECONDS) }).catch(() => null)
      await response?.body.dump()
      if (response?.statusCode === 200 && fleet.faultIntervals.isFaultFree(publishedAt, Date.now())) fleet.ledger.findings.push(`${node.configuration.name}: accepted a key ${Date.now() - publishedAt} ms after it was withdrawn`)
    }
    return () => {}
  }
}
