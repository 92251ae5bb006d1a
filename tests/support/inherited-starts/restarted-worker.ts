/**
 * A worker that starts again under its ID and address, and is cut off before it registers.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import { RackFleet } from './rack-fleet.js'

type Handler = RackFleet['fleet']['emulator']['handle']
type Request = Parameters<Handler>[0]

/** Longer than any test. */
const REGISTRATION_MILLISECONDS = 60_000

/** The worker in the first rack, its next incarnations, and what becomes of calls to its address. */
export class RestartedWorker {
  private _current: EmulatedWorker

  private constructor (readonly racks: RackFleet) {
    const [worker] = racks.fleet.emulator.workerIncarnations
    if (!worker) throw new Error('no worker')
    this._current = worker
  }

  /** Starts a fleet, and advances time. */
  static async create (milliseconds: number): Promise<RestartedWorker> {
    const racks = await RackFleet.create(['r1', 'r2', 'r3', 'r4'])
    await racks.fleet.clock.advance(milliseconds)
    return new RestartedWorker(racks)
  }

  /** Lets the worker lose power, and start again later. */
  restartAfter (darkMilliseconds: number, isRegistered = false): void {
    const { clock, emulator } = this.racks.fleet
    const { _current: former } = this
    emulator.outages.cutPower(former)
    clock.sleepUntil(clock.now() + darkMilliseconds).then(() => {
      emulator.faults.registrationMilliseconds = isRegistered ? 0 : REGISTRATION_MILLISECONDS
      this._current = emulator.restart(former)
    }).catch(() => {})
  }

  /** Cuts off the incarnation that is there. */
  cutOff (): void {
    this.racks.fleet.emulator.outages.disconnect(this._current)
  }

  /** Replaces how calls to the worker's address are handled. */
  intercept (handle: (request: Request, proceed: Handler) => ReturnType<Handler>): void {
    const { emulator } = this.racks.fleet
    const proceed = emulator.handle.bind(emulator)
    emulator.handle = request => request.address === this._current.address ? handle(request, proceed) : proceed(request)
  }

  /** Hands over the next start at a time, and cuts the worker off once it has accepted it. */
  holdStart (acceptedAt: number, isAnswered: boolean): void {
    let isHeld = false
    this.intercept(async (request, proceed) => {
      if (!request.path.endsWith('run-start') || isHeld) return proceed(request)
      isHeld = true
      await this.racks.fleet.clock.sleepUntil(acceptedAt)
      const response = await proceed({ ...request, isAborted: () => false })
      this.cutOff()
      return isAnswered ? response : null
    })
  }
}
