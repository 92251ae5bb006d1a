/**
 * Seeded simulation runs with faults in random order, and mutations of the code that the checks of the runs must detect.
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
import { chaosViolations, type ChaosCheck } from './support/chaos-violations.js'
import { ChaosRunner } from './support/chaos-runner.js'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8]

/** Simulated duration of a run. */
const RUN_MILLISECONDS = 60_000

async function runChaos (seed: number): Promise<{ checks: Map<ChaosCheck, string[]>, requests: number, faults: number }> {
  const runner = new ChaosRunner(seed)
  await runner.run(RUN_MILLISECONDS)
  return { checks: chaosViolations(runner), requests: runner.sentRequests.length, faults: runner.actionCount }
}

describe('the invariants', () => {
  it.each(SEEDS)('hold with seed %i', async seed => {
    const { checks, requests, faults } = await runChaos(seed)
    expect(Object.fromEntries([...checks].map(([check, findings]) => [check, findings.slice(0, 5)]))).toEqual({})
    expect(requests).toBeGreaterThan(300)
    expect(faults).toBeGreaterThan(20)
  })

  it('are checked on reproducible runs: a seed that is run again yields the same findings and the same numbers of requests and faults', async () => {
    const [first, second] = [await runChaos(3), await runChaos(3)]
    expect(second).toEqual(first)
  })
})

/** A method that is replaced by a faulty version, and the check that must detect it. */
interface Mutation {
  readonly check: ChaosCheck
  readonly description: string
  readonly prototype: object
  readonly method: string
  readonly faulty: (this: never, original: (...args: never[]) => unknown, ...args: never[]) => unknown
}

const MUTATIONS: Mutation[] = [
  { check: 'once', description: 'retries requests that must not be repeated', prototype: RequestDispatcher.prototype, method: '_mayRetry', faulty: () => true },
  {
    check: 'limit',
    description: 'uses more units than it holds',
    prototype: LimitLedger.prototype,
    method: 'usable',
    faulty: function (original, ...args) { return (original.apply(this, args) as number) + 4 }
  },
  { check: 'key', description: 'accepts withdrawn keys', prototype: KeyVerifier.prototype, method: 'verify', faulty: () => Right({ id: 'key', team: 'team', queues: [], sha256: '' }) },
  { check: 'zone', description: 'dispatches to zones that are out', prototype: FleetState.prototype, method: 'isZoneOut', faulty: () => false },
  { check: 'graceful', description: 'doesn\'t wait for drains', prototype: DrainEvaluator.prototype, method: 'blockers', faulty: () => [] },
  {
    check: 'whole',
    description: 'passes on half a response',
    prototype: ResponseReader.prototype,
    method: 'read',
    faulty: () => Promise.resolve(Right({ status: 200, headers: {}, body: Buffer.from('half') }))
  },
  { check: 'not-run', description: 'reports every failure as not run', prototype: RequestDispatcher.prototype, method: '_failureOf', faulty: () => new Refusal('no-capacity', 'not-run', 'wrong') },
  { check: 'budget', description: 'ignores availability budgets', prototype: FleetState.prototype, method: 'minimumServing', faulty: () => 0 }
]

describe('the check detects a deliberately faulty version', () => {
  let restore = (): void => {}
  afterEach(() => restore())

  it.each(MUTATIONS)('$check: $description', async ({ check, prototype, method, faulty }) => {
    const target = prototype as Record<string, (...args: never[]) => unknown>
    const original = target[method]
    if (!original) throw new Error(`${method} doesn't exist`)
    restore = () => { target[method] = original }
    target[method] = function (this: never, ...args: never[]) { return faulty.call(this, original, ...args) }
    let isDetected = false
    for (const seed of SEEDS) {
      const { checks } = await runChaos(seed)
      isDetected = checks.has(check)
      if (isDetected) break
    }
    expect(isDetected).toBe(true)
  })
})
