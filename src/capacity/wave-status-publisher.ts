/**
 * Interface for publishing the status of maintenance waves to operators.
 */
import type { Either } from 'purify-ts/Either'
import type { FeedError } from '../feeds/feed-error.js'

/** Writes the states of waves where operators read them. */
export abstract class WaveStatusPublisher {
  /** Publishes whether a wave is in progress or completed. */
  abstract publish (wave: number, state: 'running' | 'completed', deadline: number, signal: AbortSignal): Promise<Either<FeedError, void>>
}
