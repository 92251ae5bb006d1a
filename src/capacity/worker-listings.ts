/**
 * What the platform's lists of VMs say of the workers.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import type { FleetWorker } from '../scheduling/fleet-worker.js'
import type { WorkerTable } from '../scheduling/worker-table.js'
import type { FleetVirtualMachine } from './fleet-virtual-machine.js'

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
}

/** The first list that lacks a worker, while later ones lack it as well. */
interface WorkerAbsence {
  readonly incarnation: number
  /** Epoch milliseconds at which its last page had arrived. */
  readonly respondedAt: number
  isContradicted: boolean
}

/** Logs what changes in the lists for workers with tasks, and whether a worker responds that a list lacked. */
export class WorkerListings {
  private _listings = new Map<string, WorkerListing>()
  private readonly _absences = new Map<string, WorkerAbsence>()

  constructor (private readonly _workers: WorkerTable, private readonly _log: DecisionLog) {}

  /**
   * Applies a list of which all rows could be decoded.
   *
   * @param requestedAt epoch milliseconds at which it was requested.
   * @param respondedAt epoch milliseconds at which its last page had arrived.
   */
  apply (virtualMachines: readonly FleetVirtualMachine[], requestedAt: number, respondedAt: number): void {
    const rowsByWorker = new Map(virtualMachines.flatMap(row => row.worker === '' ? [] : [[row.worker, row]]))
    const rowsById = new Map(virtualMachines.map(row => [row.id, row]))
    const listings = new Map<string, WorkerListing>()
    for (const worker of this._workers.all) listings.set(worker.entry.id, this._listing(worker.entry.id, rowsByWorker, rowsById))
    const contradicting: FleetWorker[] = []
    for (const worker of this._workers.all) {
      if (this._contradicts(worker)) contradicting.push(worker)
      if (rowsByWorker.has(worker.entry.id)) this._absences.delete(worker.entry.id)
      else if (this._absences.get(worker.entry.id)?.incarnation !== worker.entry.incarnation) this._absences.set(worker.entry.id, { incarnation: worker.entry.incarnation, respondedAt, isContradicted: false })
    }
    const changed = [...this._workers.all].filter(({ entry: { id }, tasks }) => tasks.size > 0 && listings.get(id)?.state !== (this._listings.get(id)?.state ?? 'up'))
    for (const worker of changed.slice(0, MAXIMUM_LINES_PER_LIST)) this._logChange(worker, listings, requestedAt, changed.length)
    for (const worker of contradicting.slice(0, MAXIMUM_LINES_PER_LIST)) this._logContradiction(worker, listings, requestedAt)
    for (const id of this._absences.keys()) if (!listings.has(id)) this._absences.delete(id)
    this._listings = listings
  }

  private _listing (id: string, rowsByWorker: ReadonlyMap<string, FleetVirtualMachine>, rowsById: ReadonlyMap<string, FleetVirtualMachine>): WorkerListing {
    const own = rowsByWorker.get(id)
    if (own) return { virtualMachine: own.id, state: own.state, present: id }
    const virtualMachine = this._listings.get(id)?.virtualMachine ?? ''
    const row = rowsById.get(virtualMachine)
    if (row) return { virtualMachine, state: row.worker === '' ? row.state : 'replaced', present: row.worker }
    return { virtualMachine, state: virtualMachine === '' ? 'unlisted' : 'gone', present: '' }
  }

  /** Whether the incarnation that a list lacked has since sent a report that was requested after that list had arrived. */
  private _contradicts ({ entry: { id, incarnation }, reportRequestedAt }: FleetWorker): boolean {
    const absence = this._absences.get(id)
    return absence?.incarnation === incarnation && !absence.isContradicted && reportRequestedAt > absence.respondedAt
  }

  private _logChange (worker: FleetWorker, listings: ReadonlyMap<string, WorkerListing>, requestedAt: number, changed: number): void {
    const { entry: { id, incarnation }, lastReportAt, unreachableSince, tasks } = worker
    const listing = listings.get(id)
    this._log.emit('worker listing changed', {
      worker: id,
      incarnation,
      virtualMachine: listing?.virtualMachine ?? '',
      from: this._listings.get(id)?.state ?? '',
      to: listing?.state ?? '',
      present: listing?.present ?? '',
      requestedAt: Math.round(requestedAt),
      heardAt: Math.round(lastReportAt),
      unreachableSince: Math.round(unreachableSince),
      runs: tasks.size,
      changed
    })
  }

  private _logContradiction ({ entry: { id, incarnation }, reportRequestedAt }: FleetWorker, listings: ReadonlyMap<string, WorkerListing>, requestedAt: number): void {
    const absence = this._absences.get(id)
    if (absence) absence.isContradicted = true
    this._log.emit('worker responds that a list lacked', {
      worker: id,
      incarnation,
      from: this._listings.get(id)?.state ?? '',
      to: listings.get(id)?.state ?? '',
      absentAt: Math.round(absence?.respondedAt ?? 0),
      reportRequestedAt: Math.round(reportRequestedAt),
      requestedAt: Math.round(requestedAt)
    })
  }
}
