/**
 * What a caller of the emulated platform submits.
 */

/** A step in the words of a caller's test. */
interface CallerStep {
  readonly count: number
  readonly millicores: number
  readonly estimateMilliseconds?: number
  readonly after?: readonly number[]
  /** Lasting tasks may be away one at a time. */
  readonly isLasting?: boolean
}

/** The body on the wire. */
export function jobBody (steps: readonly CallerStep[]): object {
  return {
    spec: 'soak',
    steps: steps.map(({ count, millicores, estimateMilliseconds, after, isLasting }) => ({
      count, cpu: millicores, ...(estimateMilliseconds ? { estimate_ms: estimateMilliseconds } : {}), ...(after ? { after } : {}), ...(isLasting ? { daemon: true, may_miss: 1 } : {})
    }))
  }
}
