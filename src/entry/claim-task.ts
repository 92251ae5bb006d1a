/**
 * Claims idempotency keys in the log, many requests to a record.
 */
import { createHash } from 'node:crypto'
import type { Metrics } from '../observability/metrics.js'
import type { Claim } from '../schemas/claim.js'
import type { Holder } from '../schemas/holder.js'
import type { RecordedOutcome } from '../schemas/recorded-outcome.js'
import type { CommandSubmitter } from '../state/command-submitter.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import { Task } from '../supervision/task.js'
import type { ClaimResult } from './claim-result.js'
import type { IdentifierSource } from '../supervision/identifier-source.js'

/** How long a claim's record may take to be decided, in milliseconds. */
const CLAIM_TIMEOUT_MILLISECONDS = 2_000

/** How long an outcome's record is tried, in milliseconds. */
const OUTCOME_TIMEOUT_MILLISECONDS = 60_000

/** How long a claim and its outcome are kept after the request's deadline, in milliseconds. */
const RETENTION_MILLISECONDS = 600_000

/** Most claims or outcomes in one record. */
const MAXIMUM_BATCH = 256

type PendingClaim = Omit<Claim, 'outcome'>
type PendingOutcome = { key: string, requestId: string, outcome: RecordedOutcome }

/**
 * While one record is being decided the next one gathers, so that the number of appends
 * doesn't grow with the number of requests.
 */
export class ClaimTask extends Task {
  override readonly name = 'claims'
  private readonly _arrived = new Notifier()
  private readonly _decided = new Notifier()
  private _claims: PendingClaim[] = []
  private _outcomes: PendingOutcome[] = []
  private readonly _undecided = new Set<string>()

  constructor (
    private readonly _self: Holder,
    private readonly _keeper: StateKeeper,
    private readonly _submitter: CommandSubmitter,
    private readonly _identifiers: IdentifierSource,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {
    super()
  }

  /** The name under which a caller's identity of a request is claimed; another team's or queue's never meets it. */
  static keyOf (team: string | null, queue: string, idempotencyKey: string): string {
    return createHash('sha256').update(JSON.stringify([team, queue, idempotencyKey])).digest('hex')
  }

  /** Whether claims or outcomes wait to be written. */
  get isIdle (): boolean {
    return this._claims.length === 0 && this._outcomes.length === 0 && this._undecided.size === 0
  }

  /**
   * Claims a key for a request.
   *
   * @param fingerprint hash of what the request asks for.
   * @param requestDeadline epoch milliseconds.
   */
  async claim (key: string, fingerprint: string, requestId: string, requestDeadline: number): Promise<ClaimResult> {
    const present = this._keeper.state.claims.get(key)
    if (!present || present.outcome?.kind === 'not-run') await this._submitClaim(key, fingerprint, requestId, requestDeadline)
    const claim = this._keeper.state.claims.get(key)
    if (!claim || claim.outcome?.kind === 'not-run') {
      this._metrics.count('claims.unavailable')
      // Should the record still come, this frees the key again.
      this.recordOutcome(key, requestId, { kind: 'not-run', status: 0, contentType: '', body: '' })
      return { kind: 'unavailable' }
    }
    if (claim.requestId === requestId) {
      this._metrics.count('claims.won')
      return { kind: 'won' }
    }
    this._metrics.count('claims.joined')
    if (claim.fingerprint !== fingerprint) return { kind: 'other-request' }
    return { kind: 'joined', outcome: await this._awaitOutcome(key, claim.requestId, requestDeadline) }
  }

  /** Writes down what became of a request that won its claim. */
  recordOutcome (key: string, requestId: string, outcome: RecordedOutcome): void {
    this._outcomes.push({ key, requestId, outcome })
    this._arrived.notify()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted || !this.isIdle) {
      const claims = this._claims.splice(0, MAXIMUM_BATCH)
      const outcomes = this._outcomes.splice(0, MAXIMUM_BATCH)
      if (claims.length === 0 && outcomes.length === 0) {
        await this._arrived.wait(this._clock, Infinity, signal)
        continue
      }
      await Promise.all([this._writeClaims(claims), this._writeOutcomes(outcomes, signal)])
    }
  }

  private async _submitClaim (key: string, fingerprint: string, requestId: string, requestDeadline: number): Promise<void> {
    this._undecided.add(requestId)
    const expiryDeadline = requestDeadline + RETENTION_MILLISECONDS
    this._claims.push({ key, fingerprint, requestId, holder: this._self, requestDeadline, expiryDeadline })
    this._arrived.notify()
    while (this._undecided.has(requestId)) await this._decided.wait(this._clock, Infinity)
  }

  private async _writeClaims (claims: PendingClaim[]): Promise<void> {
    if (claims.length === 0) return
    const deadline = this._clock.now() + CLAIM_TIMEOUT_MILLISECONDS
    await this._submitter.submit({ kind: 'record-claims', claims }, { id: this._identifiers.next(), purpose: 'claims', deadline })
    for (const { requestId } of claims) this._undecided.delete(requestId)
    this._decided.notify()
  }

  private async _writeOutcomes (outcomes: PendingOutcome[], signal: AbortSignal): Promise<void> {
    if (outcomes.length === 0) return
    // While stopping, a log that is down must not hold the stop up for long.
    const timeout = signal.aborted ? CLAIM_TIMEOUT_MILLISECONDS : OUTCOME_TIMEOUT_MILLISECONDS
    const deadline = this._clock.now() + timeout
    const submitted = this._submitter.submit({ kind: 'record-outcomes', outcomes }, { id: this._identifiers.next(), purpose: 'outcomes', deadline })
    // Claims that gather meanwhile must not wait for outcomes while the log is slow.
    if (signal.aborted) await submitted
    else await Promise.race([submitted, this._clock.sleepUntil(this._clock.now() + 1)])
  }

  /** Waits for the outcome of the request that holds the claim; undefined if it doesn't come in time. */
  private async _awaitOutcome (key: string, requestId: string, deadline: number): Promise<RecordedOutcome | undefined> {
    for (;;) {
      const claim = this._keeper.state.claims.get(key)
      if (!claim || claim.requestId !== requestId) return undefined
      if (claim.outcome) return claim.outcome
      const isOver = !this._keeper.state.isRegistered(claim.holder) && this._clock.now() > claim.requestDeadline
      if (isOver || this._clock.now() >= deadline) return undefined
      await this._keeper.changed.wait(this._clock, deadline)
    }
  }
}
