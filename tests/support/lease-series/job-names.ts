/**
 * The names of the jobs of series.
 */

/** Names of jobs, one for each pool, and what the names of the jobs that are submitted during a series begin with. */
export const JOB_NAMES = {
  lasting: ['aaaa', 'bbbb', 'cccc', 'dddd'],
  others: ['eeea', 'eeeb', 'eeec', 'eeed'],
  meanwhilePrefix: 'f'
} as const
