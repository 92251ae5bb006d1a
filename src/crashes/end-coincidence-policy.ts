/**
 * Interface of the policy that tells ends of workers with a common cause.
 */
import type { WorkerEnd } from './worker-end.js'
import type { WorkerPlace } from './worker-place.js'

/** Decides whether a worker ended together with others by a cause outside its runs. */
export abstract class EndCoincidencePolicy {
  /**
   * Returns what the worker ended with, for the log, or null if its end stands for itself.
   *
   * @param others recent ends of other workers, and silences that may be ends.
   * @param places all other workers, ended or not.
   */
  abstract commonCause (end: WorkerEnd, others: readonly WorkerEnd[], places: readonly WorkerPlace[]): string | null

  /**
   * Returns the number of ends that stand for themselves and that no run on trial explains: those by which a worker under a sound run ends, too.
   *
   * @param ends recent ends.
   * @param end the one that is judged, which doesn't count.
   * @param workers number of workers.
   */
  abstract countBackground (ends: readonly WorkerEnd[], end: WorkerEnd, workers: number): number
}
