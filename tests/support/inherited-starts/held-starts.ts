/**
 * Starts that a network keeps back.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import type { EmulatedFleet } from '../emulated-fleet.js'

/** A request to the emulator. */
type Request = Parameters<EmulatedFleet['emulator']['handle']>[0]

/** A start as its request encodes it. */
interface Start {
  readonly task: string
  readonly run: number
}

/** Caller of the starts that arrive late: the process that sent them may be gone. */
const LATE_CALLER = 'late'

/** Keeps chosen starts from their workers without a response, and hands them over later. */
export class HeldStarts {
  private _requests: Request[] = []
  private readonly _handle: EmulatedFleet['emulator']['handle']

  /** @param isHeld whether a start is kept back. */
  constructor (private readonly _fleet: EmulatedFleet, isHeld: (start: Start) => boolean) {
    const { emulator } = _fleet
    this._handle = emulator.handle.bind(emulator)
    emulator.handle = async request => {
      if (!request.path.endsWith('run-start') || !isHeld(this._decode(request)) || emulator.faults.isUnheard(request.caller, 'workers')) return this._handle(request)
      this._requests.push({ ...request, caller: LATE_CALLER, isAborted: () => false })
      return null
    }
  }

  /** Tasks of the starts that are kept back. */
  get tasks (): string[] {
    return this._requests.map(request => this._decode(request).task)
  }

  /** Workers to which they were sent, in the incarnations that were there last. */
  get workers (): EmulatedWorker[] {
    const addresses = new Set(this._requests.map(({ address }) => address))
    return [...addresses].flatMap(address => this._fleet.emulator.workerIncarnations.findLast(worker => worker.address === address) ?? [])
  }

  /** Advances time until a number of starts is kept back, for at most five seconds. */
  async untilHeld (count = 1): Promise<void> {
    for (let elapsed = 0; this._requests.length < count && elapsed < 5_000; elapsed += 10) await this._fleet.clock.advance(10)
    if (this._requests.length < count) throw new Error(`${this._requests.length} starts were sent`)
  }

  /** Hands over all of them to the workers at their addresses. */
  deliver (): void {
    for (const request of this._requests) this._handle(request).catch(() => {})
    this._requests = []
  }

  private _decode ({ body }: Request): Start {
    return JSON.parse(body.toString()) as Start
  }
}
