/**
 * The part of a request body that is held in memory.
 */

/** The whole body, or its beginning if it is too large to be held. */
export interface BodyStart {
  readonly bytes: Buffer
  readonly isWhole: boolean
}
