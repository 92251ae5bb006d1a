/**
 * Faults of the emulated platform.
 */
import type { Clock } from '../../src/supervision/clock.js'

/** An answer of the store. */
interface StoreAnswer {
  readonly status: number
  readonly body: Buffer | object
}

/** Switches that tests set; none is on at first. */
export class EmulatorFaults {
  /** Callers that the store doesn't hear. */
  readonly cutCallers = new Set<string>()
  /** Processes that were killed: nothing of theirs arrives anywhere. */
  readonly deadCallers = new Set<string>()
  /** Callers that reach a worker, by its address; a worker without an entry is reached by all. */
  readonly reach = new Map<string, ReadonlySet<string>>()
  /** Status with which the store refuses everybody; 0 for none. */
  refusal = 0
  /** Time that each answer of the store takes, in milliseconds. */
  latencyMilliseconds = 4
  /** Extra time that reads of a topic's newest records take, in milliseconds, by topic. */
  readonly slowTopics = new Map<string, number>()
  /** Bytes a second that a caller's link carries; a caller without an entry has any number. */
  readonly links = new Map<string, number>()
  /** Epoch milliseconds until which each of these links is busy. */
  private readonly _busyLinks = new Map<string, number>()
  /** Extra time that appends to a topic take, in milliseconds, by topic. */
  readonly slowAppends = new Map<string, number>()
  /** Appends to come that are carried out without an answer. */
  lostAnswers = 0
  /** Time that a worker takes over a start, in milliseconds. */
  startLatencyMilliseconds = 0
  /** Starts to come that get no answer and are carried out late. */
  lateStarts = 0
  /** How late, in milliseconds. */
  lateMilliseconds = 3_000

  /** Whether the next start is late. */
  takeLateStart (): boolean {
    if (this.lateStarts === 0) return false
    this.lateStarts -= 1
    return true
  }

  /** Answers to one caller pass its link one after the other. */
  private async _passLink (caller: string, { body }: StoreAnswer, clock: Clock): Promise<void> {
    const bytesPerSecond = this.links.get(caller)
    if (bytesPerSecond === undefined || !Buffer.isBuffer(body)) return
    const until = Math.max(clock.now(), this._busyLinks.get(caller) ?? 0) + body.length / bytesPerSecond * 1_000
    this._busyLinks.set(caller, until)
    await clock.sleepUntil(until)
  }

  /** Serves a call of the store under the present faults; null stands for no answer. */
  async apply (caller: string, call: string, topic: string, serve: () => Promise<StoreAnswer>, clock: Clock): Promise<StoreAnswer | null> {
    if (this.cutCallers.has(caller)) return null
    if (this.refusal !== 0) return { status: this.refusal, body: {} }
    const slow = call === 'log-newest' ? this.slowTopics : call === 'log-append' ? this.slowAppends : null
    await clock.sleepUntil(clock.now() + this.latencyMilliseconds + (slow?.get(topic) ?? 0))
    const answer = await serve()
    await this._passLink(caller, answer, clock)
    if (call === 'log-append' && this.lostAnswers > 0) {
      this.lostAnswers -= 1
      return null
    }
    return this.cutCallers.has(caller) ? null : answer
  }
}
