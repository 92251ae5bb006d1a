/**
 * Fencing tokens of a term.
 */

/** Number of fencing tokens that an owner may use in one term: the term's number and those that follow it. The numbers of terms are multiples of it. */
export const TOKENS_PER_TERM = 1_024
