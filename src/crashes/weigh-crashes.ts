/**
 * The weight of the crashes under a task's runs.
 */
import type { CrashEvidence } from '../jobs/crash-evidence.js'
import type { RunCrash } from '../jobs/run-crash.js'

/**
 * Ages by which a deadly run has crashed its worker, in milliseconds, with the probability that is assumed for each before any crash: nearly all do so at once or within
 * a second of work, and a worker's end is noticed by the call that breaks off.
 */
const CRASH_AGES: ReadonlyArray<readonly [number, number]> = [[300, 0.35], [1_200, 0.4], [3_000, 0.2], [10_000, 0.05]]

/** Probability of a crash without evidence, as in rows of older versions, under a task that isn't its cause. */
const CHANCE_WITHOUT_EVIDENCE = 0.01

/**
 * Returns how much likelier a task's crashes are if it crashes each worker by a certain age than if its workers end as others do. For a sound task the expected value is at most
 * one after each crash, whatever the rate of ends, so that it exceeds N with a probability of at most 1/N, however often the task is started (Ville's inequality).
 */
export function weighCrashes (crashes: readonly RunCrash[]): number {
  // A new owner has seen few ends, but the task's earlier crashes tell of them.
  const rate = Math.max(0, ...crashes.map(({ evidence }) => evidence?.rate ?? 0))
  return CRASH_AGES.reduce((sum, [age, probability]) => sum + crashes.reduce((product, { evidence }) => product * ratio(evidence, age, rate), probability), 0)
}

/** Likelihood ratio of one crash, for runs that crash their worker by an age. */
function ratio (evidence: CrashEvidence | undefined, age: number, rate: number): number {
  if (!evidence) return 1 / CHANCE_WITHOUT_EVIDENCE
  const { minimumAge, maximumAge, rivals } = evidence
  if (minimumAge > age) return 0
  if (maximumAge > age) return 1
  const chance = 1 - Math.exp(-rate * age / 1_000)
  // With rivals the worker may have ended by one of them; each is taken for as likely.
  return 1 / (1 - (1 - chance) / (1 + rivals))
}
