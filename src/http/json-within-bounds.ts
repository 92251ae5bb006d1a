/**
 * Checks the structure of a JSON text before it is parsed.
 */
import type { ClientBounds } from './client-bounds.js'

/** Bytes of JSON's syntax; in UTF-8 no other character contains them. */
const QUOTE = 0x22
const COMMA = 0x2c
const BACKSLASH = 0x5c
const OPENING_BRACKET = 0x5b
const CLOSING_BRACKET = 0x5d
const OPENING_BRACE = 0x7b
const CLOSING_BRACE = 0x7d

/**
 * Whether a text has at most the given numbers of values (fields and elements) and levels. Each value is the first one after an
 * opening bracket or brace, or follows a comma, so that counting these outside strings gives an upper bound.
 */
export function isJsonWithinBounds (text: Buffer, { maximumJsonValues, maximumJsonDepth }: Pick<ClientBounds, 'maximumJsonValues' | 'maximumJsonDepth'>): boolean {
  let values = 0
  let depth = 0
  for (let index = 0; index < text.length; index++) {
    switch (text[index]) {
      case QUOTE:
        index++
        while (index < text.length && text[index] !== QUOTE) index += text[index] === BACKSLASH ? 2 : 1
        break
      case OPENING_BRACKET:
      case OPENING_BRACE:
        depth += 1
        values += 1
        if (depth > maximumJsonDepth) return false
        break
      case CLOSING_BRACKET:
      case CLOSING_BRACE:
        depth -= 1
        break
      case COMMA:
        values += 1
        break
    }
  }
  return values <= maximumJsonValues
}
