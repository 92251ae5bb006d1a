/**
 * Turns an abort signal into something that can be awaited.
 */

/** Resolves when `signal` is aborted; at once if it already is. */
export async function aborted (signal: AbortSignal): Promise<void> {
  if (signal.aborted) return
  await new Promise<void>(resolve => {
    signal.addEventListener('abort', () => resolve(), { once: true })
  })
}
