/**
 * A change of configuration that withdraws a key.
 */
import { request } from 'undici'
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Time within which a configuration is in force, in milliseconds, as the platform bounds it. */
const IN_FORCE_MILLISECONDS = 2_000

/** Most queues that come with a change. */
const MOST_QUEUES = 200

/** Callers change to a new key; the old one is refused within the bound. */
export class KeyWithdrawal extends SoakFault {
  override readonly name = 'key withdrawn'
  override readonly isPlanned = true
  private _count = 0

  override async begin (fleet: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const withdrawn = fleet.key
    this._count += 1
    const publishedAt = Date.now()
    fleet.configure([`key-${this._count}`], random.integer(MOST_QUEUES))
    await fleet.clock.sleepUntil(publishedAt + IN_FORCE_MILLISECONDS)
    for (const node of fleet.nodes.filter(({ isRunning }) => isRunning)) {
      const answer = await request(`${node.origin}/q/`, { headers: { host: 'soak.example', authorization: `Bearer ${withdrawn}` }, signal: AbortSignal.timeout(IN_FORCE_MILLISECONDS) }).catch(() => null)
      await answer?.body.dump()
      if (answer?.statusCode === 200 && fleet.calm.isCalm(publishedAt, Date.now())) fleet.ledger.findings.push(`${node.layout.name}: a key works ${Date.now() - publishedAt} ms after it was withdrawn`)
    }
    return () => {}
  }
}
