/**
 * Binding of a task to the worker that may carry out a start of it late.
 */
import type { FleetTime } from '../jobs/fleet-time.js'
import type { Observability } from '../observability/observability.js'
import type { ScheduledTask } from './scheduled-task.js'

/**
 * Lets a task whose run is given up start under the ID of its worker only, for as long as the start of that run may be carried out there: an incarnation that has seen a higher fencing token refuses
 * it, and the next run ends with that incarnation. Does nothing if no start can be late, or if the task may have two runs.
 */
export function bindToWorker (task: ScheduledTask, fleetTime: FleetTime, { clock, log }: Observability): void {
  const { worker, step } = task
  if (!worker || task.phase !== 'placed' || !task.mayBeginLate || step.definition.isSpeculative) return
  const { id, incarnation } = worker.entry
  // An incarnation that responds, but to no start, would keep the task.
  if (task.lateStart?.worker === id && task.lateStart.incarnation === incarnation && !worker.isSilent) {
    task.unresponsiveIncarnation = incarnation
    worker.unbind(task)
  }
  if (task.unresponsiveIncarnation === incarnation) return
  const until = Math.max(fleetTime.fromLocal(worker.startOverAt(task)), task.lateStart?.until ?? 0)
  task.lateStart = { worker: id, incarnation, until: Math.round(until) }
  worker.bind(task, clock.now())
  log.emit('start may be late', { task: task.name, run: task.run, worker: id, until: task.lateStart.until })
}
