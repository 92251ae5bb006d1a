/**
 * Lines that explain a decision afterwards.
 */

/** Values that a line may hold. */
type Fields = Readonly<Record<string, string | number | boolean | readonly (string | number)[] | null>>

/** Where decisions are written. Writing never waits; what exceeds the bound is counted instead. */
export abstract class DecisionLog {
  /** One line: what was decided, the inputs with their age or version, and the outcome. */
  abstract emit (event: string, fields: Fields): void
}
