/**
 * Abort signal that follows others.
 */
import { setMaxListeners } from 'node:events'

/** Aborted as soon as one of its sources is. Unlike a signal from `AbortSignal.any`, it needn't be kept for as long as its sources live. */
export class FollowingSignal {
  private readonly _controller = new AbortController()
  private readonly _abort: () => void

  /** @param reason shared by all aborts: Node would otherwise create an error with a stack trace for each. */
  constructor (private readonly _sources: readonly AbortSignal[], reason: Error) {
    // Any number of calls may listen to it.
    setMaxListeners(0, this._controller.signal)
    this._abort = () => this._controller.abort(reason)
    for (const source of _sources) {
      if (source.aborted) this._abort()
      else source.addEventListener('abort', this._abort, { once: true })
    }
  }

  /** The signal. */
  get signal (): AbortSignal {
    return this._controller.signal
  }

  /** Whether it follows a source. */
  follows (source: AbortSignal): boolean {
    return this._sources.includes(source)
  }

  /** Aborts the signal and stops following the sources. */
  end (): void {
    this._abort()
    for (const source of this._sources) source.removeEventListener('abort', this._abort)
  }
}
