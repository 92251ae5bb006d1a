/**
 * Follows the workers' registry and keeps a task for each worker.
 */
import type { FeedChange } from '../feeds/feed-change.js'
import { FeedFollowerTask } from '../feeds/feed-follower-task.js'
import type { Supervisor } from '../supervision/supervisor.js'
import type { Task } from '../supervision/task.js'
import type { FleetWorker } from './fleet-worker.js'
import type { WorkerChange } from './worker-change.js'
import type { ReportReader } from './report-reader.js'
import type { WorkerConnector } from './worker-connector.js'
import type { WorkerRoster } from './worker-roster.js'

/** Least time between two reads, in milliseconds: an entry's change has to be known well within the drain bound. */
const MINIMUM_READ_INTERVAL_MILLISECONDS = 250

/** Grace for entries that are missing when the registry is read anew, in milliseconds: workers register again within two seconds of the store's return. */
const REGISTRATION_GRACE_PERIOD_MILLISECONDS = 2_000

/** Lists and unlists workers in the roster. */
export class WorkerDirectoryTask extends FeedFollowerTask<WorkerChange> {
  override readonly name = 'workers'
  private readonly _unreadableCauses = new Map<string, string>()
  private readonly _missingUntil = new Map<string, number>()

  /**
   * @param _leaseSupervisor supervisor of the workers' tasks.
   * @param _createLeaseTask the task that holds a worker.
   */
  constructor (
    private readonly _workers: WorkerRoster, private readonly _reconciler: ReportReader, private readonly _leaseSupervisor: Supervisor, private readonly _connector: WorkerConnector, private readonly _term: number,
    private readonly _createLeaseTask: (worker: FleetWorker) => Task, ...rest: ConstructorParameters<typeof FeedFollowerTask<WorkerChange>>
  ) {
    super(...rest)
  }

  protected override reload (changes: ReadonlyArray<FeedChange<WorkerChange>>): void {
    const listed = new Set(changes.flatMap(({ value }) => value.kind === 'listed' ? [value.entry.id] : []))
    const until = this.clock.now() + REGISTRATION_GRACE_PERIOD_MILLISECONDS
    for (const worker of this._workers.all) if (worker.isListed && !listed.has(worker.entry.id)) this._missingUntil.set(worker.entry.id, until)
    for (const change of changes) this.apply(change)
  }

  protected override apply ({ value }: FeedChange<WorkerChange>): void {
    this._unlistMissing()
    switch (value.kind) {
      case 'listed': {
        const { id } = value.entry
        this._unreadableCauses.delete(id)
        this._missingUntil.delete(id)
        this._connect(this._reconciler.applyEntry(value.entry))
        return
      }
      case 'removed':
        this._workers.markUnlisted(value.id)
        return
      case 'unreadable':
        if (this._unreadableCauses.get(value.id) === value.cause) return
        this._unreadableCauses.set(value.id, value.cause)
        this.log.note('worker entry left out', { worker: value.id, cause: value.cause })
    }
  }

  protected override spacingMilliseconds (): number {
    return MINIMUM_READ_INTERVAL_MILLISECONDS
  }

  /** One task for each worker and address; a worker that comes back while its task lives keeps it. */
  private _connect (worker: FleetWorker): void {
    if (worker.client) return
    worker.client = this._connector.connect(worker.entry, this._term)
    const { client } = worker
    this._leaseSupervisor.start(this._createLeaseTask(worker)).ended.then(async () => {
      if (worker.client === client) worker.client = null
      await client.close()
    }).catch((error: Error) => this.log.note('connections not closed', { worker: worker.entry.id, cause: error.message }))
  }

  private _unlistMissing (): void {
    const now = this.clock.now()
    for (const [id, until] of this._missingUntil) {
      if (until > now) continue
      this._missingUntil.delete(id)
      this._workers.markUnlisted(id)
    }
  }
}
