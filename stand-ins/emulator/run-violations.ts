/**
 * Checks of the runs that emulated workers recorded.
 */
import type { EmulatedWorker } from './emulated-worker.js'

/** Number of runs that a task may have at once, if copies of it are allowed. */
const MAXIMUM_RUNS_WITH_COPY = 2

/**
 * Finds tasks with two runs at once, and runs started after an earlier run was done and its completion was acknowledged, unless the lease of the earlier run's worker expired between the two. A task of which copies are allowed may have two runs, on
 * different workers.
 *
 * @param allowsCopies whether a copy of a run of a task, by its name, is allowed.
 */
export function runViolations (workers: readonly EmulatedWorker[], allowsCopies: (task: string, run: number) => boolean = () => false): string[] {
  const findings: string[] = []
  // A worker completes due runs only when it is called.
  for (const worker of workers) worker.completeDueRuns()
  const byTask = new Map<string, ReturnType<typeof runsOf>>()
  for (const run of workers.flatMap(runsOf)) byTask.set(run.task, [...byTask.get(run.task) ?? [], run])
  for (const [task, runs] of byTask) {
    for (const earlier of runs) {
      for (const later of runs) {
        if (earlier === later || earlier.startedAt > later.startedAt) continue
        const activeRuns = runs.filter(({ startedAt, completedAt }) => startedAt <= later.startedAt && completedAt > later.startedAt).length
        const isCopy = allowsCopies(task, earlier.run) && earlier.worker !== later.worker && later.run > earlier.run && activeRuns <= MAXIMUM_RUNS_WITH_COPY
        if (earlier.completedAt > later.startedAt && !isCopy) findings.push(`${task}: run ${later.run} started while run ${earlier.run} was active`)
        // The owner may not know yet that the run of which it starts a copy is done.
        const isKnown = isCopy ? earlier.acknowledgedAt < later.startedAt : earlier.acknowledgedAt < earlier.leaseExpiredAt
        if (earlier.result === 'done' && isKnown) findings.push(`${task}: run ${later.run} started after run ${earlier.run} was done and its completion was acknowledged`)
      }
    }
  }
  return findings
}

/** Returns the runs of a worker with their completions. */
function runsOf (worker: EmulatedWorker): { worker: string, task: string, run: number, startedAt: number, completedAt: number, result: string, acknowledgedAt: number, leaseExpiredAt: number }[] {
  const completions = new Map(worker.completions.map(completion => [`${completion.task} ${completion.run}`, completion]))
  return worker.starts.map(start => {
    const completion = completions.get(`${start.task} ${start.run}`)
    const completedAt = completion?.completedAt ?? Infinity
    // Only leases that end other runs are recorded.
    const leaseExpiredAt = Math.min(...worker.completions.filter(other => other.result === 'lapsed' && other.completedAt >= completedAt).map(other => other.completedAt))
    return { worker: worker.id, ...start, leaseExpiredAt, completedAt, result: completion?.result ?? 'running', acknowledgedAt: completion?.acknowledgedAt ?? Infinity }
  })
}
