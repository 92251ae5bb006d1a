/**
 * Seeded runs with faults in random order, and mutations that the checks must catch.
 */
import { Right } from 'purify-ts/Either'
import { afterEach, describe, expect, it } from 'vitest'
import { DrainEvaluator } from '../src/control/drain-evaluator.js'
import { ResponseReader } from '../src/entry/response-reader.js'
import { KeyVerifier } from '../src/entry/key-verifier.js'
import { LimitLedger } from '../src/entry/limit-ledger.js'
import { Refusal } from '../src/entry/refusal.js'
import { RequestDispatcher } from '../src/entry/request-dispatcher.js'
import { FleetState } from '../src/state/fleet-state.js'
import { chaosFindings, type ChaosCheck } from './support/chaos-findings.js'
import { ChaosRunner } from './support/chaos-run.js'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8]

/** Simulated time of a run, in milliseconds. */
const RUN_MILLISECONDS = 60_000

async function violations (seed: number): Promise<{ checks: Map<ChaosCheck, string[]>, requests: number, faults: number }> {
  const run = new ChaosRunner(seed)
  await run.run(RUN_MILLISECONDS)
  return { checks: chaosFindings(run), requests: run.sent.length, faults: run.faults }
}

describe('everything that must always hold', () => {
  it.each(SEEDS)('holds with seed %i', async seed => {
    const { checks, requests, faults } = await violations(seed)
    expect(Object.fromEntries([...checks].map(([check, texts]) => [check, texts.slice(0, 5)]))).toEqual({})
    expect(requests).toBeGreaterThan(300)
    expect(faults).toBeGreaterThan(20)
  })

  it('comes to the same verdict and the same requests when a seed is run again', async () => {
    const [first, second] = [await violations(3), await violations(3)]
    expect(second).toEqual(first)
  })
})

/** A version made wrong on purpose. */
interface Mutation {
  readonly check: ChaosCheck
  readonly what: string
  readonly prototype: object
  readonly method: string
  readonly wrong: (this: never, original: (...words: never[]) => unknown, ...words: never[]) => unknown
}

const MUTATIONS: Mutation[] = [
  { check: 'once', what: 'retries requests that must not be repeated', prototype: RequestDispatcher.prototype, method: '_mayRetry', wrong: () => true },
  { check: 'limit', what: 'uses more units than it holds', prototype: LimitLedger.prototype, method: 'usable', wrong: function (original, ...words) { return (original.apply(this, words) as number) + 4 } },
  { check: 'key', what: 'lets withdrawn keys in', prototype: KeyVerifier.prototype, method: 'verify', wrong: () => Right({ id: 'key', team: 'team', queues: [], sha256: '' }) },
  { check: 'zone', what: 'sends into zones that are out', prototype: FleetState.prototype, method: 'isZoneOut', wrong: () => false },
  { check: 'graceful', what: 'doesn\'t wait for drains', prototype: DrainEvaluator.prototype, method: 'blockers', wrong: () => [] },
  { check: 'whole', what: 'passes half an answer on', prototype: ResponseReader.prototype, method: 'read', wrong: () => Promise.resolve(Right({ status: 200, headers: {}, body: Buffer.from('half') })) },
  { check: 'not-run', what: 'calls every failure not run', prototype: RequestDispatcher.prototype, method: '_failureOf', wrong: () => new Refusal('no-capacity', 'not-run', 'wrong') },
  { check: 'budget', what: 'ignores availability budgets', prototype: FleetState.prototype, method: 'minimumServing', wrong: () => 0 }
]

describe('each check catches a version made wrong on purpose', () => {
  let restore = (): void => {}
  afterEach(() => restore())

  it.each(MUTATIONS)('$check: $what', async ({ check, prototype, method, wrong }) => {
    const target = prototype as Record<string, (...words: never[]) => unknown>
    const original = target[method]
    if (!original) throw new Error(`${method} doesn't exist`)
    restore = () => { target[method] = original }
    target[method] = function (this: never, ...words: never[]) { return wrong.call(this, original, ...words) }
    let isCaught = false
    for (const seed of SEEDS) {
      const { checks } = await violations(seed)
      isCaught = checks.has(check)
      if (isCaught) break
    }
    expect(isCaught).toBe(true)
  })
})
