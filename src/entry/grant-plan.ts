/**
 * A planned change to one process's grants of one team.
 */

/** An adjustment or a transfer of units; neither if nothing needs to change. */
export interface GrantPlan {
  /** Units to take from the free ones (positive) or to return (negative). */
  readonly adjust: number
  /** The receiving process and the units to transfer to it, or null. */
  readonly transfer: { readonly member: string, readonly units: number } | null
}
