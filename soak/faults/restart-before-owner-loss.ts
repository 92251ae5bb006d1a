/**
 * Fault: workers restart while calls to them are on their way, and are cut off as their owner is lost.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Maximum times until the power is lost, until it is back, and until the owner is lost after that. */
const CALLS_MILLISECONDS = 400
const DOWNTIME_MILLISECONDS = 1_500
const RUNNING_MILLISECONDS = 4_000

/** Bounds of the time for which the restarted workers are cut off, from the leases that owners ask for to more than the longest one. */
const CUT_MILLISECONDS = { minimum: 5_000, maximum: 12_000 }

/** Delays the calls to the workers of a zone until they are back under their IDs, and then kills the owner and cuts these workers off. */
export class RestartBeforeOwnerLoss extends SoakFault {
  override readonly name = 'owner lost after restarts'
  private _isActive = false

  override async begin (fleet: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    // Several of them at once leave no process to take over before the leases end.
    if (this._isActive) return () => {}
    this._isActive = true
    const { clock, emulator, workerProxies } = fleet
    const zone = this.pick(['a', 'b', 'c'], random)
    const workers = fleet.workers.filter(worker => worker.zone === zone)
    const proxies = workers.flatMap(({ address }) => workerProxies.get(address) ?? [])
    const callsMilliseconds = random.integer(CALLS_MILLISECONDS)
    const downtime = random.integer(DOWNTIME_MILLISECONDS)
    for (const proxy of proxies) Object.assign(proxy, { latenessMilliseconds: callsMilliseconds + downtime + 1, mode: 'late' })
    await clock.sleepUntil(clock.now() + callsMilliseconds)
    fleet.record(`workers of zone ${zone} lose power for ${downtime} ms: ${workers.map(({ id }) => id).join(' ')}`)
    for (const worker of workers) emulator.outages.cutPower(worker)
    await clock.sleepUntil(clock.now() + downtime)
    for (const worker of workers) if (emulator.isCurrent(worker)) emulator.restart(worker)
    for (const proxy of proxies) proxy.mode = 'open'
    await clock.sleepUntil(clock.now() + random.integer(RUNNING_MILLISECONDS))
    const owner = fleet.owner ?? this.pick(fleet.nodes, random)
    fleet.record(`${owner.configuration.name} killed, workers of zone ${zone} cut off`)
    for (const proxy of proxies) proxy.mode = 'silent'
    await owner.kill()
    const cutUntil = clock.now() + CUT_MILLISECONDS.minimum + random.integer(CUT_MILLISECONDS.maximum - CUT_MILLISECONDS.minimum)
    return async () => {
      owner.start()
      await clock.sleepUntil(cutUntil)
      for (const proxy of proxies) proxy.mode = 'open'
      this._isActive = false
    }
  }
}
