/**
 * Error of a command, with the exit code of the program.
 */
import type { Finding } from '../schemas/finding.js'

/** Exit codes by kind of error; docs/operators/command-line.md describes them. */
const EXIT_CODES = { unreachable: 1, usage: 2, refused: 3, unknown: 4, 'not-in-force': 5 } as const

/** Error that a command ends with. */
export class CommandError extends Error {
  constructor (readonly kind: keyof typeof EXIT_CODES, message: string, readonly findings: readonly Finding[] = []) {
    super(message)
    this.name = 'CommandError'
  }

  /** Exit code of the program for this error. */
  get exitCode (): number {
    return EXIT_CODES[this.kind]
  }
}
