/**
 * The size of a job for the processes that hold it in memory.
 */
import type { JobSubmission } from './job-submission.js'

/** Length of texts in a submission that takes as much memory as a task. */
const CHARACTERS_PER_TASK = 500

/**
 * Returns the size of a job in tasks: those of one occurrence, since later occurrences take no memory before they are due, one more for each
 * step, and the equivalent of its texts.
 */
export function backlogSize ({ specification, steps }: Pick<JobSubmission, 'specification' | 'steps'>): number {
  const characters = steps.reduce((sum, { requiredLabel, preferredRack, image }) => sum + requiredLabel.length + preferredRack.length + image.length, specification.length)
  const tasks = steps.reduce((sum, { count }) => sum + count + 1, 0)
  return tasks + Math.floor(characters / CHARACTERS_PER_TASK)
}
