/**
 * A start that is sent to a worker without power and accepted by its next incarnation.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import type { RackFleet } from './rack-fleet.js'

/** Times in milliseconds. */
interface DelayedStartTimes {
  /** Time for which the worker is without power. */
  readonly darkMilliseconds: number
  /** Time from the loss of power to the submission. */
  readonly sentAfter: number
  /** Time from the restart to the acceptance. */
  readonly acceptedAfter: number
}

/** Lets the worker in the first rack lose power, submits a job to that rack, lets the next incarnation accept its start, and cuts it off then. */
export class DelayedStart {
  private readonly _worker: EmulatedWorker
  private _next: EmulatedWorker | null = null
  private _isHeld = false

  constructor (private readonly _racks: RackFleet, private readonly _times: DelayedStartTimes) {
    const [worker] = _racks.fleet.emulator.workerIncarnations
    if (!worker) throw new Error('no worker')
    this._worker = worker
  }

  /** Plays the loss of power and all that follows. */
  async play (): Promise<void> {
    const { clock, emulator } = this._racks.fleet
    const { darkMilliseconds, sentAfter, acceptedAfter } = this._times
    const backAt = clock.now() + darkMilliseconds
    this._holdStart(backAt + acceptedAfter)
    emulator.outages.cutPower(this._worker)
    clock.sleepUntil(backAt).then(() => { this._next = emulator.restart(this._worker) }).catch(() => {})
    await clock.advance(sentAfter)
    this._racks.submit('aaaa', 'r1').catch(() => {})
    await clock.advance(darkMilliseconds - sentAfter + acceptedAfter + 1_000)
  }

  private _holdStart (acceptedAt: number): void {
    const { clock, emulator } = this._racks.fleet
    const handle = emulator.handle.bind(emulator)
    emulator.handle = async request => {
      if (request.address !== this._worker.address || !request.path.endsWith('run-start') || this._isHeld) return handle(request)
      this._isHeld = true
      await clock.sleepUntil(acceptedAt)
      const response = await handle(request)
      if (this._next) emulator.outages.disconnect(this._next)
      return response
    }
  }
}
