/**
 * The record of a lease that is longer than owners asked for.
 */
import type { FleetTime } from '../jobs/fleet-time.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { DecisionWriterTask } from '../scheduling/decision-writer-task.js'
import type { FleetWorker } from '../workers/fleet-worker.js'

/**
 * Writes until when the longest lease of a worker may last, unless the journal has that: the next owner can't know it otherwise.
 *
 * @param now epoch milliseconds.
 */
export function recordLongestLease (worker: FleetWorker, now: number, writer: DecisionWriterTask, fleetTime: FleetTime, log: DecisionLog): void {
  const { formerOrders, entry: { id, incarnation } } = worker
  if (!formerOrders.isUnrecorded(now)) return
  formerOrders.recorded()
  log.emit('longest lease recorded', { worker: id, incarnation, runs: worker.tasks.size, expiresAt: Math.round(formerOrders.leaseExpiresAt) })
  writer.append({ kind: 'longest-lease', worker: id, incarnation, at: fleetTime.fromLocal(now), expiresAt: fleetTime.fromLocal(formerOrders.leaseExpiresAt) })
}
