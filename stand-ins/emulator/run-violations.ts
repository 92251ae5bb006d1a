/**
 * What workers saw that must never be.
 */
import type { EmulatedWorker } from './emulated-worker.js'

/** Two runs of a task at once, and starts after an end as done that was acknowledged. */
export function runViolations (lives: readonly EmulatedWorker[]): string[] {
  const findings: string[] = []
  // What nobody has asked a worker about has still happened there.
  for (const worker of lives) worker.settle()
  const byTask = new Map<string, ReturnType<typeof runsOf>>()
  for (const run of lives.flatMap(runsOf)) byTask.set(run.task, [...byTask.get(run.task) ?? [], run])
  for (const [task, runs] of byTask) {
    for (const left of runs) {
      for (const right of runs) {
        if (left === right || left.at > right.at) continue
        if (left.endsAt > right.at) findings.push(`${task}: run ${right.run} began while run ${left.run} was there`)
        if (left.how === 'done' && left.acknowledgedAt < Infinity) findings.push(`${task}: run ${right.run} began after run ${left.run} was done and acknowledged`)
      }
    }
  }
  return findings
}

/** A worker's runs with their ends. */
function runsOf (worker: EmulatedWorker): { task: string, run: number, at: number, endsAt: number, how: string, acknowledgedAt: number }[] {
  const ends = new Map(worker.ends.map(end => [`${end.task} ${end.run}`, end]))
  return worker.starts.map(start => {
    const end = ends.get(`${start.task} ${start.run}`)
    return { ...start, endsAt: end?.at ?? Infinity, how: end?.how ?? 'running', acknowledgedAt: end?.acknowledgedAt ?? Infinity }
  })
}
