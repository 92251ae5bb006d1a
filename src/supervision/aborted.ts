/**
 * Waits for an abort signal.
 */

/** Resolves when `signal` is aborted, or immediately if it already is. */
export async function aborted (signal: AbortSignal): Promise<void> {
  if (signal.aborted) return
  await new Promise<void>(resolve => {
    signal.addEventListener('abort', () => resolve(), { once: true })
  })
}
