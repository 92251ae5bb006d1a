/**
 * What a process does about its grants of one team.
 */

/** Units to take from what is free (positive) or to give back (negative), or to pass on. */
export interface GrantPlan {
  readonly adjust: number
  /** Process to pass units to, with how many; null for none. */
  readonly transfer: { readonly member: string, readonly units: number } | null
}
