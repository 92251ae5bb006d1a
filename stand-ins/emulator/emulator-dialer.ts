/**
 * Calls to an emulator in the same process.
 */
import { Left, Right } from 'purify-ts/Either'
import { CallClient } from '../../src/platform/call-client.js'
import { CallError } from '../../src/platform/call-error.js'
import { Dialer } from '../../src/platform/dialer.js'
import type { Clock } from '../../src/supervision/clock.js'
import type { PlatformEmulator } from './platform-emulator.js'

/** A client that calls the emulator directly, with the deadlines of the clock. */
class EmulatorClient extends CallClient {
  constructor (private readonly _emulator: PlatformEmulator, private readonly _caller: string, private readonly _address: string, private readonly _clock: Clock) {
    super()
  }

  override async call ({ path, headers = {}, body, deadline, signal }: Parameters<CallClient['call']>[0]): ReturnType<CallClient['call']> {
    const bytes = body === undefined ? Buffer.alloc(0) : Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body))
    const answered = this._emulator.handle({ caller: this._caller, address: this._address, path, headers, body: bytes, isBrokenOff: () => signal.aborted })
    const expired = this._clock.sleepUntil(deadline, signal).then(() => null, () => null)
    // Without an answer the connection stays silent until the deadline.
    const answer = await Promise.race([answered.then(found => found ?? expired), expired])
    return answer ? Right(answer) : Left(new CallError('unknown', 'no answer'))
  }

  override async close (): Promise<void> {}
}

/** Dials the emulator on behalf of one process. */
export class EmulatorDialer extends Dialer {
  /** @param _caller name of the process, which faults may single out. */
  constructor (private readonly _emulator: PlatformEmulator, private readonly _caller: string, private readonly _clock: Clock) {
    super()
  }

  override dial (address: string): CallClient {
    return new EmulatorClient(this._emulator, this._caller, address, this._clock)
  }
}
