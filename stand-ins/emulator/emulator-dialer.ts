/**
 * In-process connections to the platform emulator.
 */
import { Left, Right } from 'purify-ts/Either'
import { CallClient } from '../../src/platform/call-client.js'
import { CallError } from '../../src/platform/call-error.js'
import { Dialer } from '../../src/platform/dialer.js'
import type { Clock } from '../../src/supervision/clock.js'
import type { PlatformEmulator } from './platform-emulator.js'

/** Time that a refused connection takes, in milliseconds; above zero so that time passes for a caller that repeats calls in a loop. */
const CONNECTION_LATENCY_MILLISECONDS = 1

/** Client that calls the emulator directly and measures deadlines on the given clock. */
class EmulatorClient extends CallClient {
  constructor (private readonly _emulator: PlatformEmulator, private readonly _caller: string, private readonly _address: string, private readonly _clock: Clock, private readonly _untilRunning: () => Promise<void>) {
    super()
  }

  override async call ({ path, headers = {}, body, deadline, signal }: Parameters<CallClient['call']>[0]): ReturnType<CallClient['call']> {
    const bytes = body === undefined ? Buffer.alloc(0) : Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body))
    if (this._emulator.refusesConnections(this._address)) return this._refuse()
    if (this._address !== this._emulator.addresses.store) await this._emulator.faults.makeCall(this._caller, this._clock)
    if (signal.aborted || this._clock.now() >= deadline) return Left(new CallError('unsent', 'not sent by the deadline'))
    const { faults } = this._emulator
    const connected = this._isSilent() ? await faults.lateConnections.establish(() => this._isSilent(), { clock: this._clock, signal, deadline }) : 'at once'
    if (connected === 'never') return Left(new CallError('unsent', 'no connection'))
    const handled = this._emulator.handle({ caller: this._caller, address: this._address, path, headers, body: bytes, isAborted: () => signal.aborted })
    const responded = connected === 'late' && faults.lateConnections.losesResponse() ? handled.then(() => null) : path.endsWith('/hold') ? handled.then(result => this._deliverReport(result)) : handled
    const expired = this._clock.sleepUntil(deadline, signal).then(() => null, () => null)
    // The emulator returns null for a call without a response; the caller then waits until its deadline, unless the connection is reset.
    const response = await Promise.race([responded.then(result => result ?? (this._emulator.refusesConnections(this._address) ? null : expired)), expired])
    await this._untilRunning()
    if (!response && this._emulator.refusesConnections(this._address)) return Left(new CallError('unknown', 'connection reset'))
    return response ? Right(response) : Left(new CallError('unknown', 'no response'))
  }

  /** Whether a worker is at the address that neither responds nor refuses connections. */
  private _isSilent (): boolean {
    return this._emulator.faults.lateConnections.repeatMilliseconds > 0 && this._emulator.workerIncarnations.findLast(({ address }) => address === this._address)?.isDisconnected === true
  }

  /** Waits until a report has arrived, whatever has become of its worker meanwhile. */
  private async _deliverReport<Response> (response: Response): Promise<Response> {
    const { reportMilliseconds } = this._emulator.faults
    if (reportMilliseconds > 0) await this._clock.sleepUntil(this._clock.now() + reportMilliseconds)
    return response
  }

  private async _refuse (): ReturnType<CallClient['call']> {
    await this._clock.sleepUntil(this._clock.now() + CONNECTION_LATENCY_MILLISECONDS)
    await this._untilRunning()
    return Left(new CallError('unsent', 'connection refused', true))
  }

  override async close (): Promise<void> {}
}

/** Dials the emulator on behalf of one process. */
export class EmulatorDialer extends Dialer {
  /**
   * @param _caller name of the process; faults can apply to single callers.
   * @param _untilRunning resolves when the process isn't suspended: until then it receives no response.
   */
  constructor (
    private readonly _emulator: PlatformEmulator, private readonly _caller: string, private readonly _clock: Clock, private readonly _untilRunning: () => Promise<void> = async () => {}
  ) {
    super()
  }

  override dial (address: string): CallClient {
    return new EmulatorClient(this._emulator, this._caller, address, this._clock, this._untilRunning)
  }
}
