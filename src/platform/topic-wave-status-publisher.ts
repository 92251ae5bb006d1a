/**
 * Waves' states in the platform's status topic.
 */
import type { Either } from 'purify-ts/Either'
import { WaveStatusPublisher } from '../capacity/wave-status-publisher.js'
import type { FeedError } from '../feeds/feed-error.js'
import type { KeyedTopic } from './keyed-topic.js'

/** Writes `wave/N`. */
export class TopicWaveStatusPublisher extends WaveStatusPublisher {
  constructor (private readonly _topic: KeyedTopic) {
    super()
  }

  override async publish (wave: number, state: 'running' | 'completed', deadline: number, signal: AbortSignal): Promise<Either<FeedError, void>> {
    const value = Buffer.from(JSON.stringify({ state }), 'utf8')
    return (await this._topic.append([{ key: `wave/${wave}`, value }], null, deadline, signal)).map(() => undefined)
  }
}
