/**
 * The place of a worker.
 */
import type { WorkerEnd } from './worker-end.js'

/** What is known of a worker's place, whether it has ended or not. */
export type WorkerPlace = Pick<WorkerEnd, 'worker' | 'pool' | 'rack' | 'availabilityZone'>
