/**
 * Abort signal for operations that nothing stops.
 */
import { setMaxListeners } from 'node:events'

/** Shared, because a signal of its own for each of thousands of operations costs noticeable processor time. */
export const NEVER_ABORTED: AbortSignal = new AbortController().signal
setMaxListeners(0, NEVER_ABORTED)
