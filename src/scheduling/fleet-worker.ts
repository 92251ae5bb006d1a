/**
 * A worker as the owner sees it.
 */
import type { Resources } from '../jobs/resources.js'
import { addResources } from './add-resources.js'
import { fitsWithin } from './fits-within.js'
import type { ScheduledTask } from './scheduled-task.js'
import type { WorkerClient } from './worker-client.js'
import type { WorkerEntry } from './worker-entry.js'

/** A worker's clock may be slow by this share. */
const SLOWEST_CLOCK = 0.98

/** Time on top of a computed lapse, in milliseconds, for the kill itself. */
const LAPSE_SLACK_MILLISECONDS = 150

const NOTHING: Resources = { millicores: 0, memoryMegabytes: 0, accelerators: 0 }

/** Room, runs, clock and lease of one incarnation of a worker. */
export class FleetWorker {
  entry: WorkerEntry
  /** Whether the registry lists it now. */
  isListed = true
  /** Epoch milliseconds since which this term knows it. */
  firstSeenAt = 0
  /** Whether its VM is being emptied for maintenance or a move. */
  isCordoned = false
  /** Epoch milliseconds until which it gets nothing new. */
  avoidedUntil = 0
  /** Epoch milliseconds since which it has to be heard from before it gets anything new. */
  doubtedSince = 0
  /** Runs in a row that failed. */
  failuresInRow = 0
  /** Ends up to this number are in the journal. */
  acknowledged = 0
  /** Ends up to this number have been taken in. */
  handled = 0
  /** Tasks that hold room. */
  readonly tasks = new Set<ScheduledTask>()
  /** Epoch milliseconds of the last report; 0 before the first under this term. */
  lastReportAt = 0
  /** The worker's clock at that moment, at least. */
  private _clockThen = 0
  /** Latest lease deadline that may have reached the worker, on its clock. */
  private _leaseDeadline = 0
  private _used: Resources = NOTHING
  /** Calls to it; null while its address isn't known. */
  client: WorkerClient | null = null

  /** @param _unknownLeaseEnd epoch milliseconds by which leases that others granted have lapsed. */
  constructor (entry: WorkerEntry, private _unknownLeaseEnd: number) {
    this.entry = entry
  }

  /** Rack, from the labels: the kind of VM comes first. */
  get rack (): string {
    return this.entry.labels[1] ?? ''
  }

  /** Room that nothing holds. */
  get free (): Resources {
    return addResources(this.entry.capacity, this._used, -1)
  }

  /** Room that is held. */
  get reserved (): Resources {
    return this._used
  }

  /** Latest lease deadline sent, on the worker's clock. */
  get leaseDeadline (): number {
    return this._leaseDeadline
  }

  /** Whether a demand fits beside what is there. */
  hasCapacityFor (demand: Resources): boolean {
    return fitsWithin(demand, this.free)
  }

  /** Gives a task room. */
  attach (task: ScheduledTask): void {
    if (this.tasks.has(task)) return
    this.tasks.add(task)
    this._used = addResources(this._used, task.reservation)
  }

  /** Takes a task's room back. */
  detach (task: ScheduledTask): void {
    if (!this.tasks.delete(task)) return
    this._used = addResources(this._used, task.reservation, -1)
  }

  /** Notes the worker's clock. */
  heard (clock: number, now: number): void {
    this._clockThen = clock
    this.lastReportAt = now
  }

  /**
   * Forgets the clock and lease of an earlier incarnation.
   *
   * @param unknownLeaseEnd epoch milliseconds by which leases have lapsed that orders to the earlier one may have brought.
   */
  startIncarnation (incarnation: number, unknownLeaseEnd: number): void {
    this.entry = { ...this.entry, incarnation }
    this._unknownLeaseEnd = unknownLeaseEnd
    this._leaseDeadline = 0
    this._clockThen = 0
    this.lastReportAt = 0
    this.acknowledged = 0
    this.handled = 0
  }

  /** The lease deadline, on the worker's clock, to ask for now; null before its clock is known. */
  extendLease (now: number, leaseMilliseconds: number): number | null {
    if (this.lastReportAt === 0) return null
    this._leaseDeadline = Math.max(this._leaseDeadline, this._clockThen + (now - this.lastReportAt) + leaseMilliseconds)
    return this._leaseDeadline
  }

  /** Epoch milliseconds by which everything on the worker has lapsed, if it isn't reached again. */
  get lapsesAt (): number {
    if (this.lastReportAt === 0) return this._unknownLeaseEnd
    const own = this.lastReportAt + Math.max(0, this._leaseDeadline - this._clockThen) / SLOWEST_CLOCK + LAPSE_SLACK_MILLISECONDS
    return Math.max(own, this._unknownLeaseEnd)
  }
}
