/**
 * Where operators see how waves go.
 */
import type { Either } from 'purify-ts/Either'
import type { FeedError } from '../feeds/feed-error.js'

/** Published states of waves. */
export abstract class WaveStatusPublisher {
  /** Publishes whether a wave is under way or completed. */
  abstract publish (wave: number, state: 'running' | 'completed', deadline: number, signal: AbortSignal): Promise<Either<FeedError, void>>
}
