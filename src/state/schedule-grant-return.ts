/**
 * Scheduled return of the grants of a process that has ended.
 */
import type { Holder } from '../schemas/holder.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Allowance for clock skew between VMs. */
const CLOCK_SKEW_ALLOWANCE_MILLISECONDS = 1_000

/** Time for which a borrower may start work under units that the holder has lent. */
const LOAN_START_WINDOW_MILLISECONDS = 30_000

/**
 * Sets the deadline after which the grants of an ended holder may be returned. Requests that
 * it started can still run at endpoints until their deadlines, and so can requests that others
 * started under units that it had lent. The deadline therefore covers the longest of them.
 */
export function scheduleGrantReturn (state: FleetState, holder: Holder, context: FoldContext): void {
  const returnDeadline = context.time + state.longestTimeoutMilliseconds + LOAN_START_WINDOW_MILLISECONDS + CLOCK_SKEW_ALLOWANCE_MILLISECONDS
  const holderKey = `${holder.member}/${holder.incarnation}`
  for (const grants of state.grants.values()) {
    const grant = grants.get(holderKey)
    if (grant && grant.returnDeadline === null) grants.set(holderKey, { ...grant, returnDeadline })
  }
}
