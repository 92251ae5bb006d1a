/**
 * Attribution of lost workers to their VM, their surroundings or a task.
 */
import type { WorkerLoss } from './worker-loss.js'
import { RecentEvents } from './recent-events.js'

/** Time within which ends of workers may have one cause, in milliseconds: each is noticed by its own lease or in lists of VMs. */
const SHARED_CAUSE_MILLISECONDS = 5_000

/** Number of VMs of an availability zone that are lost together by a common cause. */
const SHARED_CAUSE_VIRTUAL_MACHINES = 3

/** Tells VMs that are lost repeatedly by themselves from those that are lost with their rack or zone, or to a task that crashes its workers. */
export class LossAttribution {
  private readonly _losses = new RecentEvents<WorkerLoss>()

  /** @param _retentionMilliseconds time for which losses count. */
  constructor (private readonly _retentionMilliseconds: number) {}

  record (loss: WorkerLoss): void {
    this._losses.dropBefore(loss.at - this._retentionMilliseconds)
    this._losses.add(loss)
  }

  /** Returns the losses of a VM that count against it: no other was lost with it, and no kind of task is suspected of them all, or of one on another VM. */
  attributable (virtualMachine: string): WorkerLoss[] {
    const own = this._losses.all.filter(loss => loss.virtualMachine === virtualMachine && !this._isShared(loss) && !this._isBySuspect(loss))
    return own.filter(loss => loss.suspects.length === 0 || own.some(other => other !== loss && !other.suspects.some(kind => loss.suspects.includes(kind))))
  }

  private _isShared (loss: WorkerLoss): boolean {
    const together = this._losses.all.filter(other => other.availabilityZone === loss.availabilityZone && other.virtualMachine !== loss.virtualMachine && Math.abs(other.at - loss.at) <= SHARED_CAUSE_MILLISECONDS)
    return together.some(({ rack }) => rack !== '' && rack === loss.rack) || new Set(together.map(other => other.virtualMachine)).size >= SHARED_CAUSE_VIRTUAL_MACHINES - 1
  }

  private _isBySuspect ({ virtualMachine, suspects }: WorkerLoss): boolean {
    return this._losses.all.some(other => other.virtualMachine !== virtualMachine && other.suspects.some(kind => suspects.includes(kind)))
  }
}
