/**
 * What the platform's lists of VMs say of the workers.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { WorkerTable } from '../workers/worker-table.js'
import type { FleetVirtualMachine } from './fleet-virtual-machine.js'
import { LIST_LAG_ALLOWANCE_MILLISECONDS } from './list-lag-allowance.js'

/** Limit on the lines that one list causes, each of changes and of contradictions. */
const MAXIMUM_LINES_PER_LIST = 24

/** What a list says of a worker. */
interface WorkerListing {
  /** VM that the worker was last listed on; empty if no list of this term had the worker. */
  readonly virtualMachine: string
  /** State of the VM while the list has the worker or no other on the VM; `replaced`: another worker is there; `gone`: the VM isn't listed; `unlisted`: no list had the worker. */
  readonly state: FleetVirtualMachine['state'] | 'replaced' | 'gone' | 'unlisted'
  /** ID of the worker on the VM; empty for none. */
  readonly present: string
  /** Whether the VM has been moved or maintained since it was listed with the worker. */
  readonly isTakenDown: boolean
}

/** The first list that lacks a worker although it should have it, while later ones lack it as well. */
interface WorkerAbsence {
  readonly incarnation: number
  /** Epoch milliseconds at which its last page had arrived. */
  readonly respondedAt: number
  isContradicted: boolean
}

/** The rows of one list of which all could be decoded. */
interface CompleteList {
  /** Epoch milliseconds at which it was requested. */
  readonly requestedAt: number
  readonly rowsById: ReadonlyMap<string, FleetVirtualMachine>
  readonly rowsByWorker: ReadonlyMap<string, FleetVirtualMachine>
}

/** Keeps the last two lists, and logs what changes in them for workers with tasks, and whether a worker responds that a list lacked. */
export class WorkerListings {
  private _previousList: CompleteList | null = null
  private _list: CompleteList | null = null
  private _listings = new Map<string, WorkerListing>()
  /** States that the log has for workers with tasks; `up` if it has none. */
  private readonly _loggedStates = new Map<string, WorkerListing['state']>()
  private readonly _absences = new Map<string, WorkerAbsence>()

  /** @param _isStandby returns whether the VMs of a pool have no workers. */
  constructor (private readonly _workers: WorkerTable, private readonly _isStandby: (pool: string) => boolean, private readonly _log: DecisionLog) {}

  /**
   * Whether two lists in a row, both requested after `since` (epoch milliseconds), lack a worker. A list may come in parts between which a VM changes its place. So both
   * must have the VM that the worker was listed on, or the same VMs, none of which has changed its place then.
   */
  isMissing (worker: string, since: number): boolean {
    const { _previousList: previous, _list: list } = this
    if (!previous || !list || previous.requestedAt < since || list.requestedAt < previous.requestedAt + LIST_LAG_ALLOWANCE_MILLISECONDS) return false
    if (previous.rowsByWorker.has(worker) || list.rowsByWorker.has(worker)) return false
    const virtualMachine = this._listings.get(worker)?.virtualMachine ?? ''
    if (previous.rowsById.has(virtualMachine) && list.rowsById.has(virtualMachine)) return true
    return previous.rowsById.size === list.rowsById.size && [...list.rowsById.keys()].every(id => previous.rowsById.has(id))
  }

  /**
   * Whether two such lists show that no incarnation under a worker's ID follows: its VM isn't listed any more, has another worker, or has been moved or maintained, after which another worker joins.
   * Where no list of this term had the worker, any VM without a worker could be its own, but for the standby VMs.
   */
  isReplaced (worker: string, since: number): boolean {
    const { _previousList: previous, _list: list } = this
    if (!previous || !list || !this.isMissing(worker, since)) return false
    if (this.isTakenDown(worker)) return true
    const virtualMachine = this._listings.get(worker)?.virtualMachine ?? ''
    return [previous, list].every(({ rowsById }) => {
      const rows = virtualMachine === '' ? [...rowsById.values()].filter(({ pool }) => !this._isStandby(pool)) : [rowsById.get(virtualMachine)]
      return rows.every(row => row?.worker !== '' || row.state === 'moving' || row.state === 'maintenance')
    })
  }

  /** Whether the VM that a worker was listed on has been moved or maintained since. */
  isTakenDown (worker: string): boolean {
    return this._listings.get(worker)?.isTakenDown ?? false
  }

  /**
   * Applies a list.
   *
   * @param virtualMachines its rows; null if some could not be decoded, which may be those of any worker.
   * @param requestedAt epoch milliseconds at which it was requested.
   * @param respondedAt epoch milliseconds at which its last page had arrived.
   */
  apply (virtualMachines: readonly FleetVirtualMachine[] | null, requestedAt: number, respondedAt: number): void {
    this._previousList = this._list
    this._list = virtualMachines && {
      requestedAt,
      rowsById: new Map(virtualMachines.map(row => [row.id, row])),
      rowsByWorker: new Map(virtualMachines.flatMap(row => row.worker === '' ? [] : [[row.worker, row]]))
    }
    if (this._list) this._compare(this._list, respondedAt)
  }

  private _compare (list: CompleteList, respondedAt: number): void {
    const before = this._listings
    this._listings = new Map([...this._workers.all].map(({ entry: { id } }) => [id, this._listing(id, list, before.get(id))]))
    const workers = [...this._workers.all]
    const contradicting = workers.filter(worker => this._contradicts(worker))
    for (const { entry: { id, incarnation }, incarnationKnownAt } of workers) {
      if (list.rowsByWorker.has(id)) this._absences.delete(id)
      else if (list.requestedAt >= incarnationKnownAt + LIST_LAG_ALLOWANCE_MILLISECONDS && this._absences.get(id)?.incarnation !== incarnation) this._absences.set(id, { incarnation, respondedAt, isContradicted: false })
    }
    for (const known of [this._absences, this._loggedStates]) for (const id of known.keys()) if (!this._listings.has(id)) known.delete(id)
    const changed = workers.filter(({ entry: { id }, tasks }) => tasks.size > 0 && this._listings.get(id)?.state !== (this._loggedStates.get(id) ?? 'up'))
    for (const worker of changed.slice(0, MAXIMUM_LINES_PER_LIST)) this._logChange(worker, list, changed.length)
    for (const worker of contradicting.slice(0, MAXIMUM_LINES_PER_LIST)) this._logContradiction(worker, list)
  }

  private _listing (worker: string, { rowsById, rowsByWorker }: CompleteList, before: WorkerListing | undefined): WorkerListing {
    const own = rowsByWorker.get(worker)
    if (own) return { virtualMachine: own.id, state: own.state, present: worker, isTakenDown: false }
    const virtualMachine = before?.virtualMachine ?? ''
    const row = rowsById.get(virtualMachine)
    const isTakenDown = before?.isTakenDown === true || row?.state === 'moving' || row?.state === 'maintenance'
    if (row) return { virtualMachine, state: row.worker === '' ? row.state : 'replaced', present: row.worker, isTakenDown }
    return { virtualMachine, state: virtualMachine === '' ? 'unlisted' : 'gone', present: '', isTakenDown }
  }

  /** Whether the incarnation that a list lacked has since sent a report that was requested after that list had arrived. */
  private _contradicts ({ entry: { id, incarnation }, reportRequestedAt }: FleetWorker): boolean {
    const absence = this._absences.get(id)
    return absence?.incarnation === incarnation && !absence.isContradicted && reportRequestedAt > absence.respondedAt
  }

  private _logChange ({ entry: { id, incarnation }, lastReportAt, unreachableSince, tasks }: FleetWorker, { requestedAt }: CompleteList, changed: number): void {
    const listing = this._listings.get(id)
    const from = this._loggedStates.get(id) ?? 'up'
    if (listing) this._loggedStates.set(id, listing.state)
    this._log.emit('worker listing changed', {
      worker: id,
      incarnation,
      virtualMachine: listing?.virtualMachine ?? '',
      from,
      to: listing?.state ?? '',
      present: listing?.present ?? '',
      requestedAt: Math.round(requestedAt),
      heardAt: Math.round(lastReportAt),
      unreachableSince: Math.round(unreachableSince),
      runs: tasks.size,
      changed
    })
  }

  private _logContradiction ({ entry: { id, incarnation }, reportRequestedAt }: FleetWorker, { requestedAt }: CompleteList): void {
    const absence = this._absences.get(id)
    if (absence) absence.isContradicted = true
    this._log.emit('worker responds that a list lacked', {
      worker: id,
      incarnation,
      to: this._listings.get(id)?.state ?? '',
      absentAt: Math.round(absence?.respondedAt ?? 0),
      reportRequestedAt: Math.round(reportRequestedAt),
      requestedAt: Math.round(requestedAt)
    })
  }
}
