/**
 * Who may order a VM about, and when.
 */
import type { JobTable } from '../jobs/job-table.js'
import type { DecisionWriterTask } from '../scheduling/decision-writer-task.js'
import type { Clock } from '../supervision/clock.js'

/** Which work has a VM. */
type Holder = 'wave' | 'move'

/** Time on top of the least one between orders of two holders, in milliseconds: clocks differ, and an earlier order may have been on its way. */
const HOLDER_CHANGE_SLACK_MILLISECONDS = 700

/**
 * Kept for one term. Within it, a VM has either a wave or a move. Between terms, a VM that another
 * holder ordered about just before is left alone; each order is written to the journal before it is given.
 */
export class VirtualMachineLocks {
  private readonly _holders = new Map<string, Holder>()

  /** @param _holderChangeMilliseconds least time between orders of two holders for one VM. */
  constructor (
    private readonly _book: JobTable, private readonly _writer: DecisionWriterTask, private readonly _term: number,
    private readonly _holderChangeMilliseconds: number, private readonly _clock: Clock
  ) {}

  /** Which work has a VM, or null. */
  holder (virtualMachine: string): Holder | null {
    return this._holders.get(virtualMachine) ?? null
  }

  /** Takes a free VM; false if other work has it. */
  take (virtualMachine: string, holder: Holder): boolean {
    const present = this._holders.get(virtualMachine) ?? holder
    if (present !== holder) return false
    this._holders.set(virtualMachine, holder)
    return true
  }

  /** Gives a VM back. */
  release (virtualMachine: string, holder: Holder): void {
    if (this._holders.get(virtualMachine) === holder) this._holders.delete(virtualMachine)
  }

  /** Whether another holder's newest order is long enough ago. */
  mayOrder (virtualMachine: string): boolean {
    const order = this._book.order(virtualMachine)
    if (!order || order.term === this._term) return true
    return this._clock.now() > order.at + this._holderChangeMilliseconds + HOLDER_CHANGE_SLACK_MILLISECONDS
  }

  /** Announces an order, then gives it. */
  announce (virtualMachine: string, give: () => void): void {
    this._writer.append({ kind: 'order', virtualMachine, term: this._term, at: this._clock.now() }, give)
  }
}
