/**
 * A worker as the owner sees it.
 */
import type { Resources } from '../jobs/resources.js'
import { addResources } from './add-resources.js'
import { fitsWithin } from './fits-within.js'
import type { OwnedTask } from './owned-task.js'
import type { WorkerClient } from './worker-client.js'
import type { WorkerEntry } from './worker-entry.js'

/** A worker's clock may be slow by this share. */
const SLOWEST_CLOCK_RATE = 0.98

/** Time on top of a computed lapse, in milliseconds, for the kill itself. */
const LEASE_EXPIRY_MARGIN_MILLISECONDS = 150

const NO_RESOURCES: Resources = { millicores: 0, memoryMegabytes: 0, accelerators: 0 }

/** Room, runs, clock and lease of one incarnation of a worker. */
export class FleetWorker {
  entry: WorkerEntry
  /** Whether the registry lists it now. */
  isListed = true
  /** Epoch milliseconds since which this term knows it. */
  knownSince = 0
  /** Whether its VM is being emptied for maintenance or a move. */
  isClosing = false
  /** Epoch milliseconds until which it gets nothing new. */
  cooldownUntil = 0
  /** Epoch milliseconds since which it has to be heard from before it gets anything new. */
  suspectedSince = 0
  /** Runs in a row that failed. */
  consecutiveFailures = 0
  /** Ends up to this number are in the journal. */
  acknowledgedSequence = 0
  /** Ends up to this number have been taken in. */
  appliedSequence = 0
  /** Tasks that hold room. */
  readonly tasks = new Set<OwnedTask>()
  /** Epoch milliseconds of the last report; 0 before the first under this term. */
  heardAt = 0
  /** The worker's clock at that moment, at least. */
  private _workerClockAtReport = 0
  /** Latest lease deadline that may have reached the worker, on its clock. */
  private _leaseDeadline = 0
  private _reserved: Resources = NO_RESOURCES
  /** Calls to it; null while its address isn't known. */
  client: WorkerClient | null = null

  /** @param _unknownLeasesExpireAt epoch milliseconds by which leases that others granted have lapsed. */
  constructor (entry: WorkerEntry, private _unknownLeasesExpireAt: number) {
    this.entry = entry
  }

  /** Rack, from the labels: the kind of VM comes first. */
  get rack (): string {
    return this.entry.labels[1] ?? ''
  }

  /** Room that nothing holds. */
  get available (): Resources {
    return addResources(this.entry.capacity, this._reserved, -1)
  }

  /** Room that is held. */
  get used (): Resources {
    return this._reserved
  }

  /** Latest lease deadline sent, on the worker's clock. */
  get leaseDeadline (): number {
    return this._leaseDeadline
  }

  /** Whether a demand fits beside what is there. */
  hasRoom (demand: Resources): boolean {
    return fitsWithin(demand, this.available)
  }

  /** Gives a task room. */
  reserve (task: OwnedTask): void {
    if (this.tasks.has(task)) return
    this.tasks.add(task)
    this._reserved = addResources(this._reserved, task.room)
  }

  /** Takes a task's room back. */
  release (task: OwnedTask): void {
    if (!this.tasks.delete(task)) return
    this._reserved = addResources(this._reserved, task.room, -1)
  }

  /** Notes the worker's clock. */
  recordReport (clock: number, now: number): void {
    this._workerClockAtReport = clock
    this.heardAt = now
  }

  /**
   * Forgets the clock and lease of an earlier incarnation.
   *
   * @param unknownLeaseEnd epoch milliseconds by which leases have lapsed that orders to the earlier one may have brought.
   */
  startIncarnation (incarnation: number, unknownLeaseEnd: number): void {
    this.entry = { ...this.entry, incarnation }
    this._unknownLeasesExpireAt = unknownLeaseEnd
    this._leaseDeadline = 0
    this._workerClockAtReport = 0
    this.heardAt = 0
    this.acknowledgedSequence = 0
    this.appliedSequence = 0
  }

  /** The lease deadline, on the worker's clock, to ask for now; null before its clock is known. */
  extendLeaseDeadline (now: number, leaseMilliseconds: number): number | null {
    if (this.heardAt === 0) return null
    this._leaseDeadline = Math.max(this._leaseDeadline, this._workerClockAtReport + (now - this.heardAt) + leaseMilliseconds)
    return this._leaseDeadline
  }

  /** Epoch milliseconds by which everything on the worker has lapsed, if it isn't reached again. */
  get leaseExpiresAt (): number {
    if (this.heardAt === 0) return this._unknownLeasesExpireAt
    const own = this.heardAt + Math.max(0, this._leaseDeadline - this._workerClockAtReport) / SLOWEST_CLOCK_RATE + LEASE_EXPIRY_MARGIN_MILLISECONDS
    return Math.max(own, this._unknownLeasesExpireAt)
  }
}
