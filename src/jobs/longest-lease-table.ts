/**
 * The leases that are longer than owners asked for, built from the journal.
 */
import type { Clock } from '../supervision/clock.js'
import type { JournalRecord } from './journal-record.js'
import type { LongestLease } from './longest-lease.js'

/** Keeps what is known of the newest incarnation of each worker. */
export class LongestLeaseTable {
  private readonly _leases = new Map<string, LongestLease>()

  constructor (private readonly _clock: Clock) {}

  /** Returns what the journal says of a worker, or null. */
  of (worker: string): LongestLease | null {
    return this._leases.get(worker) ?? null
  }

  /** Returns the IDs of the workers whose leases have expired by `now` (epoch milliseconds). */
  expiredBy (now: number): string[] {
    return [...this._leases].filter(([, { expiresAtLatest }]) => expiresAtLatest < now).map(([worker]) => worker)
  }

  /** Forgets all workers but the given ones. */
  retain (workers: ReadonlySet<string>): void {
    for (const worker of [...this._leases.keys()]) if (!workers.has(worker)) this._leases.delete(worker)
  }

  /** Applies a record. The same one may be read again, and still runs from the first time. */
  apply (record: Extract<JournalRecord, { kind: 'longest-lease' | 'longest-lease-end' }>): void {
    const { worker } = record
    if (record.kind === 'longest-lease-end') {
      this.remove(worker)
      return
    }
    const { incarnation, at, expiresAt } = record
    const known = this._leases.get(worker)
    if (known?.incarnation === incarnation && known.decidedAt === at && known.expiresAt === expiresAt) return
    this._leases.set(worker, { incarnation, decidedAt: at, expiresAt, expiresAtLatest: this._clock.now() + Math.max(0, expiresAt - at) })
  }

  /** Forgets a worker. */
  remove (worker: string): void {
    this._leases.delete(worker)
  }
}
