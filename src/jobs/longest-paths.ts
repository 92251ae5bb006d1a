/**
 * Critical paths through the steps of a job.
 */
import type { StepDefinition } from './step-definition.js'

/** Returns, for each step, the estimated duration of the longest chain of dependent steps that begins with it, in milliseconds. */
export function longestPaths (steps: readonly Pick<StepDefinition, 'estimateMilliseconds' | 'after'>[]): number[] {
  const paths = new Array<number>(steps.length).fill(0)
  for (const [index, { estimateMilliseconds, after }] of [...steps.entries()].reverse()) {
    const path = (paths[index] ?? 0) + estimateMilliseconds
    paths[index] = path
    for (const earlier of after) if (earlier < index) paths[earlier] = Math.max(paths[earlier] ?? 0, path)
  }
  return paths
}
