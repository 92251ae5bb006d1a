/**
 * Checks of the runs that emulated workers recorded.
 */
import type { EmulatedWorker } from './emulated-worker.js'

/** Finds tasks with two runs at once, and runs started after an earlier run was done and its completion was acknowledged. */
export function runViolations (workers: readonly EmulatedWorker[]): string[] {
  const findings: string[] = []
  // A worker completes due runs only when it is called.
  for (const worker of workers) worker.completeDueRuns()
  const byTask = new Map<string, ReturnType<typeof runsOf>>()
  for (const run of workers.flatMap(runsOf)) byTask.set(run.task, [...byTask.get(run.task) ?? [], run])
  for (const [task, runs] of byTask) {
    for (const earlier of runs) {
      for (const later of runs) {
        if (earlier === later || earlier.startedAt > later.startedAt) continue
        if (earlier.completedAt > later.startedAt) findings.push(`${task}: run ${later.run} started while run ${earlier.run} was active`)
        if (earlier.result === 'done' && earlier.acknowledgedAt < Infinity) findings.push(`${task}: run ${later.run} started after run ${earlier.run} was done and its completion was acknowledged`)
      }
    }
  }
  return findings
}

/** Returns the runs of a worker with their completions. */
function runsOf (worker: EmulatedWorker): { task: string, run: number, startedAt: number, completedAt: number, result: string, acknowledgedAt: number }[] {
  const completions = new Map(worker.completions.map(completion => [`${completion.task} ${completion.run}`, completion]))
  return worker.starts.map(start => {
    const completion = completions.get(`${start.task} ${start.run}`)
    return { ...start, completedAt: completion?.completedAt ?? Infinity, result: completion?.result ?? 'running', acknowledgedAt: completion?.acknowledgedAt ?? Infinity }
  })
}
