/**
 * A short seeded run of the soak: the real program as processes of their own, harmed from outside.
 */
import { beforeAll, expect, test } from 'vitest'
import { SoakRun } from '../soak/soak-run.js'

/** Long enough for the slowest machine; nothing is judged by it. */
const LIMIT_MILLISECONDS = 240_000

beforeAll(async () => {
  // The program as it is deployed.
  await import(new URL('../deploy/build.mjs', import.meta.url).href)
}, LIMIT_MILLISECONDS)

test('nothing is lost, doubled or denied in a short soak', { timeout: LIMIT_MILLISECONDS }, async () => {
  const report = await new SoakRun(7, { processes: 3, workers: 6, callers: 3, faultMilliseconds: 6_000 }).run()
  expect(report.findings).toEqual([])
  expect(report.accepted).toBeGreaterThan(0)
})
