/**
 * Failures of a command, with the exit code that they end in.
 */
import type { Finding } from '../schemas/finding.js'

/** Exit codes; docs/operators/command-line.md tells them. */
const EXIT_CODES = { unreachable: 1, usage: 2, refused: 3, unknown: 4, 'not-in-force': 5 } as const

/** Why a command failed. */
export class CommandError extends Error {
  constructor (readonly kind: keyof typeof EXIT_CODES, message: string, readonly findings: readonly Finding[] = []) {
    super(message)
    this.name = 'CommandError'
  }

  /** Exit code of the program. */
  get exitCode (): number {
    return EXIT_CODES[this.kind]
  }
}
