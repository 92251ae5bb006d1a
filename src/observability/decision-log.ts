/**
 * Interface to the log of decisions, whose events contain what is needed to explain each decision later.
 */

/** Fields of a log event. */
type Fields = Readonly<Record<string, string | number | boolean | readonly (string | number)[] | null>>

/** Structured log of decisions. Writing never blocks; events above an implementation's limit are dropped and counted. */
export abstract class DecisionLog {
  /** Emits a log event: what was decided, the inputs with their age or version, and the outcome. */
  abstract emit (event: string, fields: Fields): void
}
