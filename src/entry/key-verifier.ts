/**
 * Verifies access keys against the state.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import { Left, Right, type Either } from 'purify-ts/Either'
import type { AccessKey } from '../schemas/access-key.js'
import type { FleetState } from '../state/fleet-state.js'

/** Format of a key: a prefix, the key's id and its secret. */
const KEY_PATTERN = /^sgk\.([a-z0-9][a-z0-9-]{0,62})\.([A-Za-z0-9_-]{16,128})$/

/**
 * Looks a key up by its id and compares the hash of the whole key in constant time, so that
 * the response time reveals nothing about the secret.
 */
export class KeyVerifier {
  /** Returns the key's record, or the reason why it isn't valid. The reason doesn't reveal which part was wrong. */
  verify (state: FleetState, bearer: string): Either<string, AccessKey> {
    const match = KEY_PATTERN.exec(bearer)
    const key = match ? state.keys.get(match[1] ?? '')?.value : undefined
    const presentedHash = createHash('sha256').update(bearer).digest()
    const storedHash = Buffer.from(key?.sha256 ?? '0'.repeat(64), 'hex')
    const isEqual = timingSafeEqual(presentedHash, storedHash)
    if (!key || !isEqual) return Left('the key is unknown')
    if (key.isWithdrawn) return Left('the key has been withdrawn')
    return Right(key)
  }
}
