/**
 * Warnings for developers and for those who set a fleet up; docs/OPERATORS.md lists the codes.
 */
import type { Logger } from 'winston'

/** Stable codes with what they say. */
const WARNINGS = {
  SG001: 'the fleet secret is the one of the example file; anyone can join the fleet',
  SG002: 'readinessGraceMilliseconds is 0; a balancer cannot notice a planned stop before connections are refused',
  SG003: 'there is no metrics address; counters stay in the process'
} as const

/** Says each thing once, and only while `NODE_ENV` isn't `production`. */
export class DeveloperWarnings {
  private readonly _said = new Set<keyof typeof WARNINGS>()

  /** @param _mode value of `NODE_ENV`. */
  constructor (private readonly _logger: Logger, private readonly _mode: string | undefined) {}

  /** Warns if the condition holds. */
  warnIf (condition: boolean, code: keyof typeof WARNINGS): void {
    if (!condition || this._mode === 'production' || this._said.has(code)) return
    this._said.add(code)
    this._logger.warn(WARNINGS[code], { code })
  }
}
