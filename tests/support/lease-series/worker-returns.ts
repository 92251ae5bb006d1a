/**
 * The ways in which silent workers come back, or in which their VMs are ordered about.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import { Disturbance } from './disturbance.js'
import type { DisturbedFleet } from './disturbed-fleet.js'
import { orderAboutMachine } from './order-about-machine.js'
import { restartWorker } from './restart-worker.js'

/** Workers that fall silent together. */
type Workers = readonly EmulatedWorker[]

class Return extends Disturbance<Workers> {
  override readonly name = 'dark, back under its ID'
  override readonly end = 'given'

  override begin (disturbed: DisturbedFleet, workers: Workers, until: number): void {
    for (const worker of workers) disturbed.fleet.emulator.outages.cutPower(worker)
    disturbed.schedule(until, () => { for (const worker of workers) restartWorker(disturbed, worker) })
  }
}

class ReturnToSilence extends Disturbance<Workers> {
  override readonly name: string
  override readonly end = 'given'

  /** @param _reachableMilliseconds time after its return at which a worker is cut off. */
  constructor (private readonly _reachableMilliseconds: number) {
    super()
    this.name = `dark, back under its ID, cut off ${_reachableMilliseconds} ms later`
  }

  override begin (disturbed: DisturbedFleet, workers: Workers, until: number): void {
    const { outages } = disturbed.fleet.emulator
    for (const worker of workers) outages.cutPower(worker)
    disturbed.schedule(until, () => {
      const restarted = workers.flatMap(worker => restartWorker(disturbed, worker) ?? [])
      disturbed.schedule(until + this._reachableMilliseconds, () => { for (const worker of restarted) outages.disconnect(worker) })
    })
  }
}

class Replacement extends Disturbance<Workers> {
  override readonly name = 'dark, back under another ID'
  override readonly end = 'given'

  override begin ({ fleet: { emulator } }: DisturbedFleet, workers: Workers, until: number): void {
    for (const worker of workers) emulator.replace(worker, until).catch(() => {})
  }
}

class OrderToSilent extends Disturbance<Workers> {
  override readonly name = 'cut off, its VM ordered about'
  override readonly end = 'given'

  override begin (disturbed: DisturbedFleet, workers: Workers, until: number): void {
    for (const worker of workers) disturbed.fleet.emulator.outages.disconnect(worker)
    disturbed.schedule(until, () => { for (const worker of workers) orderAboutMachine(disturbed, worker) })
  }
}

/** Times after which workers that are back are cut off, in milliseconds. */
const REACHABLE_MILLISECONDS = [50, 300, 1_000, 2_500] as const

/** All of them. */
export const WORKER_RETURNS: readonly Disturbance<Workers>[] = [new Return(), new Replacement(), new OrderToSilent(), ...REACHABLE_MILLISECONDS.map(milliseconds => new ReturnToSilence(milliseconds))]
