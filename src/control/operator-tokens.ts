/**
 * Authenticates operators by their tokens.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import { Maybe } from 'purify-ts/Maybe'

/** An operator from the settings. */
interface Operator {
  readonly name: string
  /** SHA-256 of the token, in hexadecimal. */
  readonly tokenSha256: string
}

/** Compares a token with those of all operators in constant time, so that the response time doesn't reveal which one matches. */
export class OperatorTokens {
  constructor (private readonly _operators: readonly Operator[]) {}

  /** Name of the operator who owns the token. */
  operatorOf (token: string): Maybe<string> {
    const tokenDigest = createHash('sha256').update(token).digest()
    let match: string | undefined
    for (const { name, tokenSha256 } of this._operators) {
      if (timingSafeEqual(tokenDigest, Buffer.from(tokenSha256, 'hex'))) match = name
    }
    return Maybe.fromNullable(match)
  }
}
