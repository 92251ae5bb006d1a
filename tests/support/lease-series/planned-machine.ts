/**
 * A VM of a fleet that is disturbed.
 */
export interface PlannedMachine {
  readonly pool: string
  readonly zone: string
  readonly rack: string
  /** Rate of its worker's clock. */
  readonly clockRate: number
}
