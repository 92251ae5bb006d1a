/**
 * In-process connections to the platform emulator.
 */
import { Left, Right } from 'purify-ts/Either'
import { CallClient } from '../../src/platform/call-client.js'
import { CallError } from '../../src/platform/call-error.js'
import { Dialer } from '../../src/platform/dialer.js'
import type { Clock } from '../../src/supervision/clock.js'
import type { PlatformEmulator } from './platform-emulator.js'

/** Client that calls the emulator directly and measures deadlines on the given clock. */
class EmulatorClient extends CallClient {
  constructor (private readonly _emulator: PlatformEmulator, private readonly _caller: string, private readonly _address: string, private readonly _clock: Clock, private readonly _untilRunning: () => Promise<void>) {
    super()
  }

  override async call ({ path, headers = {}, body, deadline, signal }: Parameters<CallClient['call']>[0]): ReturnType<CallClient['call']> {
    const bytes = body === undefined ? Buffer.alloc(0) : Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body))
    const responded = this._emulator.handle({ caller: this._caller, address: this._address, path, headers, body: bytes, isAborted: () => signal.aborted })
    const expired = this._clock.sleepUntil(deadline, signal).then(() => null, () => null)
    // The emulator returns null for a call without a response; the caller then waits until its deadline.
    const response = await Promise.race([responded.then(result => result ?? expired), expired])
    await this._untilRunning()
    return response ? Right(response) : Left(new CallError('unknown', 'no response'))
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
