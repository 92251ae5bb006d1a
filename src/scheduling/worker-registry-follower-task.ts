/**
 * Follows the workers' registry and keeps a task for each worker.
 */
import type { FeedChange } from '../feeds/feed-change.js'
import { FeedFollowerTask } from '../feeds/feed-follower-task.js'
import type { Supervisor } from '../supervision/supervisor.js'
import type { Task } from '../supervision/task.js'
import type { FleetWorker } from './fleet-worker.js'
import type { WorkerChange } from './worker-change.js'
import type { WorkerReconciler } from './worker-reconciler.js'
import type { WorkerConnector } from './worker-connector.js'
import type { WorkerTable } from './worker-table.js'

/** Least time between two reads, in milliseconds: an entry's change has to be known well within the drain bound. */
const SPACING_MILLISECONDS = 250

/** Grace for entries that are missing when the registry is read anew, in milliseconds: workers register again within two seconds of the store's return. */
const RETURN_GRACE_MILLISECONDS = 2_000

/** Lists and unlists workers in the roster. */
export class WorkerRegistryFollowerTask extends FeedFollowerTask<WorkerChange> {
  override readonly name = 'workers'
  private readonly _unreadable = new Map<string, string>()
  private readonly _missing = new Map<string, number>()

  /**
   * @param _holds supervisor of the workers' tasks.
   * @param _createHold the task that holds a worker.
   */
  constructor (
    private readonly _roster: WorkerTable, private readonly _reader: WorkerReconciler, private readonly _holds: Supervisor, private readonly _connector: WorkerConnector, private readonly _term: number,
    private readonly _createHold: (worker: FleetWorker) => Task, ...rest: ConstructorParameters<typeof FeedFollowerTask<WorkerChange>>
  ) {
    super(...rest)
  }

  protected override reload (changes: ReadonlyArray<FeedChange<WorkerChange>>): void {
    const listed = new Set(changes.flatMap(({ value }) => value.kind === 'listed' ? [value.entry.id] : []))
    const until = this.clock.now() + RETURN_GRACE_MILLISECONDS
    for (const worker of this._roster.all) if (worker.isListed && !listed.has(worker.entry.id)) this._missing.set(worker.entry.id, until)
    for (const change of changes) this.apply(change)
  }

  protected override apply ({ value }: FeedChange<WorkerChange>): void {
    this._unlistMissing()
    switch (value.kind) {
      case 'listed': {
        const { id } = value.entry
        this._unreadable.delete(id)
        this._missing.delete(id)
        this._hold(this._reader.list(value.entry))
        return
      }
      case 'removed':
        this._roster.unlist(value.id)
        return
      case 'unreadable':
        if (this._unreadable.get(value.id) === value.cause) return
        this._unreadable.set(value.id, value.cause)
        this.log.emit('worker entry left out', { worker: value.id, cause: value.cause })
    }
  }

  protected override minimumReadIntervalMilliseconds (): number {
    return SPACING_MILLISECONDS
  }

  /** One task for each worker and address; a worker that comes back while its task lives keeps it. */
  private _hold (worker: FleetWorker): void {
    if (worker.client) return
    worker.client = this._connector.connect(worker.entry, this._term)
    const { client } = worker
    this._holds.start(this._createHold(worker)).ended.then(async () => {
      if (worker.client === client) worker.client = null
      await client.close()
    }).catch((error: Error) => this.log.emit('connections not closed', { worker: worker.entry.id, cause: error.message }))
  }

  private _unlistMissing (): void {
    const now = this.clock.now()
    for (const [id, until] of this._missing) {
      if (until > now) continue
      this._missing.delete(id)
      this._roster.unlist(id)
    }
  }
}
