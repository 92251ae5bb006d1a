/**
 * A short seeded soak run: the built program in separate processes, with faults injected from outside.
 */
import { beforeAll, expect, test } from 'vitest'
import { MixedShape } from '../soak/shapes/mixed-shape.js'
import { SoakRun } from '../soak/soak-run.js'

/** Long enough for a slow machine; no check depends on it. */
const TIMEOUT_MILLISECONDS = 240_000

beforeAll(async () => {
  // Builds the program as it is deployed.
  await import(new URL('../deploy/build.mjs', import.meta.url).href)
}, TIMEOUT_MILLISECONDS)

test('a short soak run loses, duplicates and denies no job', { timeout: TIMEOUT_MILLISECONDS }, async () => {
  const report = await new SoakRun(7, new MixedShape(), { processes: 3, workers: 6, callers: 3, faultMilliseconds: 6_000 }).run()
  expect(report.findings).toEqual([])
  expect(report.accepted).toBeGreaterThan(0)
})
