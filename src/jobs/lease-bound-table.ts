/**
 * The bounds on leases, built from the journal.
 */
import type { Clock } from '../supervision/clock.js'
import type { JournalRecord } from './journal-record.js'
import type { LeaseBound } from './lease-bound.js'

/** Keeps the newest bound of each worker. */
export class LeaseBoundTable {
  private readonly _bounds = new Map<string, LeaseBound>()

  constructor (private readonly _clock: Clock) {}

  /** IDs of the workers with a bound on their leases. */
  get workers (): IterableIterator<string> {
    return this._bounds.keys()
  }

  /** Returns the bound on the leases of a worker, or null if the journal has none. */
  of (worker: string): LeaseBound | null {
    return this._bounds.get(worker) ?? null
  }

  /** Forgets the bounds of all workers but the given ones. */
  retain (workers: ReadonlySet<string>): void {
    for (const worker of [...this._bounds.keys()]) if (!workers.has(worker)) this._bounds.delete(worker)
  }

  /** Applies a bound. The same one may be read again, and still runs from the first time. */
  apply ({ worker, incarnation, term, at, expiresAt, startsExpireAt = expiresAt, address = '', refusesConnections = false, hasSuccessor = false }: Extract<JournalRecord, { kind: 'lease-bound' }>): void {
    const known = this._bounds.get(worker)
    if (known?.incarnation === incarnation && known.term === term && known.decidedAt === at && known.expiresAt === expiresAt && known.startsExpireAt === startsExpireAt) return
    const now = this._clock.now()
    this._bounds.set(worker, { incarnation, term, decidedAt: at, expiresAt, expiresAtLatest: now + Math.max(0, expiresAt - at), startsExpireAt, startsExpireAtLatest: now + Math.max(0, startsExpireAt - at), address, refusesConnections, hasSuccessor })
  }

  /** Forgets the bound of a worker. */
  withdraw (worker: string): void {
    this._bounds.delete(worker)
  }
}
