/**
 * Warnings about unsafe settings for developers and operators; docs/OPERATORS.md lists the codes.
 */
import type { Logger } from 'winston'

/** Texts by stable code. */
const WARNINGS = {
  SG001: 'the fleet secret is the one from the example file; anyone can join the fleet',
  SG002: 'readinessGraceMilliseconds is 0; a load balancer cannot detect a planned stop before connections are refused',
  SG003: 'no metrics address is set; metrics are not exported'
} as const

/** Logs each warning at most once, and none if `NODE_ENV` is `production`. */
export class DeveloperWarnings {
  private readonly _logged = new Set<keyof typeof WARNINGS>()

  /** @param _nodeEnvironment value of `NODE_ENV`. */
  constructor (private readonly _logger: Logger, private readonly _nodeEnvironment: string | undefined) {}

  /** Logs a warning if the condition is true. */
  warnIf (condition: boolean, code: keyof typeof WARNINGS): void {
    if (!condition || this._nodeEnvironment === 'production' || this._logged.has(code)) return
    this._logged.add(code)
    this._logger.warn(WARNINGS[code], { code })
  }
}
