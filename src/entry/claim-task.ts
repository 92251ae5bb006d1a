/**
 * Records claims of idempotency keys, and their outcomes, in the log.
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

/** Time limit for a decision on a record of claims. */
const CLAIM_TIMEOUT_MILLISECONDS = 2_000

/** Time for which writing a record of outcomes is retried. */
const OUTCOME_TIMEOUT_MILLISECONDS = 60_000

/** Time for which a claim and its outcome are kept after the request's deadline. */
const CLAIM_RETENTION_MILLISECONDS = 600_000

/** Limit on the claims or outcomes in one record. */
const MAXIMUM_BATCH_ITEMS = 256

type PendingClaim = Omit<Claim, 'outcome'>
type PendingOutcome = { key: string, requestId: string, outcome: RecordedOutcome }

/**
 * Writes claims and outcomes in batches: those that arrive while one record awaits its
 * decision are collected for the next, so that the number of appends doesn't grow with the
 * number of requests.
 */
export class ClaimTask extends Task {
  override readonly name = 'claims'
  private readonly _arrived = new Notifier()
  private readonly _decided = new Notifier()
  private _pendingClaims: PendingClaim[] = []
  private _pendingOutcomes: PendingOutcome[] = []
  private readonly _undecidedRequestIds = new Set<string>()

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

  /** The key to claim for a caller's idempotency key; the same one from another team or on another queue gives a different key. */
  static keyOf (team: string | null, queue: string, idempotencyKey: string): string {
    return createHash('sha256').update(JSON.stringify([team, queue, idempotencyKey])).digest('hex')
  }

  /** Whether no claim or outcome is waiting to be written. */
  get isIdle (): boolean {
    return this._pendingClaims.length === 0 && this._pendingOutcomes.length === 0 && this._undecidedRequestIds.size === 0
  }

  /**
   * Claims a key for a request.
   *
   * @param fingerprint hash of the request's method, path and body, to detect that a key is used for a different request.
   * @param requestDeadline epoch milliseconds.
   */
  async claim (key: string, fingerprint: string, requestId: string, requestDeadline: number): Promise<ClaimResult> {
    const existing = this._keeper.state.claims.get(key)
    if (!existing || existing.outcome?.kind === 'not-run') await this._submitClaim(key, fingerprint, requestId, requestDeadline)
    const claim = this._keeper.state.claims.get(key)
    if (!claim || claim.outcome?.kind === 'not-run') {
      this._metrics.count('claims.unavailable')
      // If the claim is recorded after all, this outcome frees the key again.
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

  /** Queues the outcome of a request that won its claim for writing. */
  recordOutcome (key: string, requestId: string, outcome: RecordedOutcome): void {
    this._pendingOutcomes.push({ key, requestId, outcome })
    this._arrived.notify()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted || !this.isIdle) {
      const claims = this._pendingClaims.splice(0, MAXIMUM_BATCH_ITEMS)
      const outcomes = this._pendingOutcomes.splice(0, MAXIMUM_BATCH_ITEMS)
      if (claims.length === 0 && outcomes.length === 0) {
        await this._arrived.wait(this._clock, Infinity, signal)
        continue
      }
      await Promise.all([this._writeClaims(claims), this._writeOutcomes(outcomes, signal)])
    }
  }

  private async _submitClaim (key: string, fingerprint: string, requestId: string, requestDeadline: number): Promise<void> {
    this._undecidedRequestIds.add(requestId)
    const expiryDeadline = requestDeadline + CLAIM_RETENTION_MILLISECONDS
    this._pendingClaims.push({ key, fingerprint, requestId, holder: this._self, requestDeadline, expiryDeadline })
    this._arrived.notify()
    while (this._undecidedRequestIds.has(requestId)) await this._decided.wait(this._clock, Infinity)
  }

  private async _writeClaims (claims: PendingClaim[]): Promise<void> {
    if (claims.length === 0) return
    const deadline = this._clock.now() + CLAIM_TIMEOUT_MILLISECONDS
    await this._submitter.submit({ kind: 'record-claims', claims }, { id: this._identifiers.next(), purpose: 'claims', deadline })
    for (const { requestId } of claims) this._undecidedRequestIds.delete(requestId)
    this._decided.notify()
  }

  private async _writeOutcomes (outcomes: PendingOutcome[], signal: AbortSignal): Promise<void> {
    if (outcomes.length === 0) return
    // During shutdown, an unavailable log must not delay the process for long.
    const timeout = signal.aborted ? CLAIM_TIMEOUT_MILLISECONDS : OUTCOME_TIMEOUT_MILLISECONDS
    const deadline = this._clock.now() + timeout
    const submitted = this._submitter.submit({ kind: 'record-outcomes', outcomes }, { id: this._identifiers.next(), purpose: 'outcomes', deadline })
    // New claims must not wait for outcomes to be written while the log is slow.
    if (signal.aborted) await submitted
    else await Promise.race([submitted, this._clock.sleepUntil(this._clock.now() + 1)])
  }

  /** Waits for the outcome of the request that holds the claim; undefined if it isn't recorded in time. */
  private async _awaitOutcome (key: string, requestId: string, deadline: number): Promise<RecordedOutcome | undefined> {
    for (;;) {
      const claim = this._keeper.state.claims.get(key)
      if (!claim || claim.requestId !== requestId) return undefined
      if (claim.outcome) return claim.outcome
      const isAbandoned = !this._keeper.state.isRegistered(claim.holder) && this._clock.now() > claim.requestDeadline
      if (isAbandoned || this._clock.now() >= deadline) return undefined
      await this._keeper.changed.wait(this._clock, deadline)
    }
  }
}
