/**
 * Checks operators' tokens.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import { Maybe } from 'purify-ts/Maybe'

/** An operator as the settings name it. */
interface Operator {
  readonly name: string
  /** SHA-256 of the token, in hexadecimal. */
  readonly tokenSha256: string
}

/** Compares with every operator in constant time, whichever matches. */
export class OperatorTokens {
  constructor (private readonly _operators: readonly Operator[]) {}

  /** Name of the operator whose token this is. */
  operatorOf (token: string): Maybe<string> {
    const shown = createHash('sha256').update(token).digest()
    let found: string | undefined
    for (const { name, tokenSha256 } of this._operators) {
      if (timingSafeEqual(shown, Buffer.from(tokenSha256, 'hex'))) found = name
    }
    return Maybe.fromNullable(found)
  }
}
