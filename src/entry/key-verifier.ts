/**
 * Checks keys against the state.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import { Left, Right, type Either } from 'purify-ts/Either'
import type { AccessKey } from '../schemas/access-key.js'
import type { FleetState } from '../state/fleet-state.js'

/** Form of a key: a prefix, its id and its secret. */
const KEY_FORM = /^sgk\.([a-z0-9][a-z0-9-]{0,62})\.([A-Za-z0-9_-]{16,128})$/

/**
 * Looks a key up by its id and compares the hash of the whole in constant time, so that
 * the time taken tells nothing of the secret.
 */
export class KeyVerifier {
  /** The key's record, or why it doesn't count. The reason never tells which part was wrong. */
  verify (state: FleetState, bearer: string): Either<string, AccessKey> {
    const match = KEY_FORM.exec(bearer)
    const key = match ? state.keys.get(match[1] ?? '')?.value : undefined
    const shown = createHash('sha256').update(bearer).digest()
    const kept = Buffer.from(key?.sha256 ?? '0'.repeat(64), 'hex')
    const isEqual = timingSafeEqual(shown, kept)
    if (!key || !isEqual) return Left('the key is unknown')
    if (key.isWithdrawn) return Left('the key has been withdrawn')
    return Right(key)
  }
}
