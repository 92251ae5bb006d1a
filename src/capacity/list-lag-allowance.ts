/**
 * How far the platform's lists of VMs may lag behind.
 */

/** Allowance for lists that lag behind, in milliseconds: only a list that was requested this long after a moment shows what has changed until then. */
export const LIST_LAG_ALLOWANCE_MILLISECONDS = 300
