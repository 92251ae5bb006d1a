/**
 * What happens to the holdings of a process that has ended.
 */
import type { Holder } from '../schemas/holder.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Allowance for clocks that differ between VMs, in milliseconds. */
const CLOCK_DIFFERENCE_MILLISECONDS = 1_000

/** How long others may start work under units that the holder had lent, in milliseconds. */
const LOAN_MILLISECONDS = 30_000

/**
 * Marks what a dead holder still has. Requests that it started may run on at endpoints
 * until their deadlines, and so may those that others started under units that it had
 * lent, so its units come back only after the longest of them.
 */
export function endHolder (state: FleetState, holder: Holder, context: FoldContext): void {
  const returnDeadline = context.time + state.longestTimeoutMilliseconds + LOAN_MILLISECONDS + CLOCK_DIFFERENCE_MILLISECONDS
  const holderKey = `${holder.member}/${holder.incarnation}`
  for (const grants of state.grants.values()) {
    const grant = grants.get(holderKey)
    if (grant && grant.returnDeadline === null) grants.set(holderKey, { ...grant, returnDeadline })
  }
}
