/**
 * Bodies of job submissions.
 */

/** A step of a job to submit. */
interface JobStep {
  readonly count: number
  readonly millicores: number
  readonly estimateMilliseconds?: number
  readonly after?: readonly number[]
  /** Whether the tasks run until the job is cancelled; at most one of them may be missing at a time. */
  readonly isLasting?: boolean
  /** Maximum number of tasks of the step on one worker. */
  readonly antiAffinity?: number
}

/** Encodes a job submission with the given steps. */
export function jobBody (steps: readonly JobStep[]): object {
  return {
    spec: 'soak',
    steps: steps.map(({ count, millicores, estimateMilliseconds, after, isLasting, antiAffinity }) => ({
      count, cpu: millicores, ...(estimateMilliseconds ? { estimate_ms: estimateMilliseconds } : {}), ...(after ? { after } : {}), ...(antiAffinity ? { anti_affinity: antiAffinity } : {}), ...(isLasting ? { daemon: true, may_miss: 1 } : {})
    }))
  }
}
