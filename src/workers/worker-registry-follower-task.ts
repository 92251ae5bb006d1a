/**
 * Follower of the worker registry.
 */
import type { FeedChange } from '../feeds/feed-change.js'
import { FeedFollowerTask } from '../feeds/feed-follower-task.js'
import type { Supervisor } from '../supervision/supervisor.js'
import type { Task } from '../supervision/task.js'
import type { FleetWorker } from './fleet-worker.js'
import type { OrderFences } from '../leases/order-fences.js'
import type { WorkerChange } from '../workers/worker-change.js'
import type { WorkerEntry } from '../workers/worker-entry.js'
import type { WorkerReconciler } from '../workers/worker-reconciler.js'
import type { WorkerConnector } from '../workers/worker-connector.js'
import type { WorkerTable } from './worker-table.js'

/** Changes have to be known well within the time that a worker takes to drain. */
const MINIMUM_READ_INTERVAL_MILLISECONDS = 100

/** Applies to entries that are missing after a reload: workers register again within two seconds after an outage of the store. */
const REGISTRATION_GRACE_PERIOD_MILLISECONDS = 2_000

/** Applies registry entries to the worker table and starts a lease renewal task for each listed worker. */
export class WorkerRegistryFollowerTask extends FeedFollowerTask<WorkerChange> {
  override readonly name = 'workers'
  private readonly _unreadableCauses = new Map<string, string>()
  /** Entries of pools that the configuration doesn't name, by ID; one that is configured later has its workers listed already. */
  private readonly _foreignEntries = new Map<string, WorkerEntry>()
  /** Epoch milliseconds at which workers that a reload did not list are marked as unlisted, by worker ID. */
  private readonly _unlistAt = new Map<string, number>()

  /**
   * @param _leaseSupervisor supervisor of the lease renewal tasks.
   * @param _createLeaseRenewalTask creates the lease renewal task of a worker.
   */
  constructor (
    private readonly _workers: WorkerTable, private readonly _reconciler: WorkerReconciler, private readonly _leaseSupervisor: Supervisor, private readonly _connector: WorkerConnector, private readonly _fences: OrderFences,
    private readonly _createLeaseRenewalTask: (worker: FleetWorker) => Task, ...rest: ConstructorParameters<typeof FeedFollowerTask<WorkerChange>>
  ) {
    super(...rest)
  }

  protected override reload (changes: ReadonlyArray<FeedChange<WorkerChange>>): void {
    const listed = new Set(changes.flatMap(({ value }) => value.kind === 'listed' ? [value.entry.id] : []))
    const unlistAt = this.clock.now() + REGISTRATION_GRACE_PERIOD_MILLISECONDS
    for (const worker of this._workers.all) if (worker.isListed && !listed.has(worker.entry.id)) this._unlistAt.set(worker.entry.id, unlistAt)
    for (const change of changes) this.applyOrSkip(change)
  }

  protected override apply ({ value }: FeedChange<WorkerChange>): void {
    this._unlistMissing()
    switch (value.kind) {
      case 'listed': {
        this._unreadableCauses.delete(value.entry.id)
        this._applyEntry(value.entry)
        return
      }
      case 'removed':
        this._unreadableCauses.delete(value.id)
        this._foreignEntries.delete(value.id)
        this._workers.markUnlisted(value.id)
        return
      case 'unreadable':
        if (this._unreadableCauses.get(value.id) === value.cause) return
        this._unreadableCauses.set(value.id, value.cause)
        this.log.emit('unreadable worker entry ignored', { worker: value.id, cause: value.cause })
    }
  }

  /** Applies the entries of pools that have been configured since. */
  protected override async untilReadNeeded (): Promise<void> {
    for (const entry of this._foreignEntries.values()) if (this._workers.namesPool(entry)) this.applyOrSkip({ offset: this.nextOffset, value: { kind: 'listed', entry } })
  }

  protected override minimumReadIntervalMilliseconds (): number {
    return MINIMUM_READ_INTERVAL_MILLISECONDS
  }

  private _applyEntry (entry: WorkerEntry): void {
    const { id, pool } = entry
    // A worker that is known may still run something after its pool has been removed.
    if (!this._workers.find(id) && !this._workers.namesPool(entry)) {
      if (!this._foreignEntries.has(id)) this.log.emit('worker entry of an unknown pool ignored', { worker: id, pool })
      this._foreignEntries.set(id, entry)
      return
    }
    this._foreignEntries.delete(id)
    this._unlistAt.delete(id)
    this._startLeaseRenewal(this._reconciler.applyEntry(entry))
  }

  /** Starts the lease renewal task of a worker; a worker that is listed again while its task still runs keeps that task. */
  private _startLeaseRenewal (worker: FleetWorker): void {
    if (worker.client) return
    const { entry: { id } } = worker
    worker.client = this._connector.connect(worker.entry, this._fences.of(id))
    const { client } = worker
    const ordersOverAt = this._fences.takeOrdersOverAt(id)
    if (ordersOverAt > this.clock.now()) worker.shutOutOrders(ordersOverAt)
    this._leaseSupervisor.start(this._createLeaseRenewalTask(worker)).ended.then(async () => {
      if (worker.client === client) worker.client = null
      await client.close()
      if (!this._workers.find(id)) this._fences.release(id, this.clock.now())
    }).catch((error: Error) => this.log.emit('closing worker connections failed', { worker: id, cause: error.message }))
  }

  private _unlistMissing (): void {
    const now = this.clock.now()
    for (const [id, unlistAt] of this._unlistAt) {
      if (unlistAt > now) continue
      this._unlistAt.delete(id)
      this._workers.markUnlisted(id)
    }
  }
}
