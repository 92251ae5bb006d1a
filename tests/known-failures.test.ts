/**
 * Tests of the verdict of `npm test`, on small test files in a folder of their own.
 */
import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { expect, test } from 'vitest'

const PASSING = "test('passes', () => {})\n"
const FAILING = "test('fails', () => { expect(1).toBe(2) })\n"
const KNOWN = 'test: fails\n  an entry\n'

/** Runs a test file against a list of known failures; returns the exit status and the lines about tests. */
function runTests (source: string, knownFailures: string): { status: number | null, verdicts: string[] } {
  const folder = mkdtempSync(join(tmpdir(), 'known-failures-'))
  try {
    writeFileSync(join(folder, 'KNOWN-RED.txt'), knownFailures)
    writeFileSync(join(folder, 'example.test.js'), source)
    const environment = Object.fromEntries(Object.entries(process.env).filter(([name]) => !name.startsWith('VITEST')))
    const { status, stdout } = spawnSync(process.execPath, [resolve('.ci/run-tests.mjs'), '--globals'], { cwd: folder, env: environment, encoding: 'utf8' })
    return { status, verdicts: stdout.split('\n').filter(line => /^(known failure|FAILED|passes, but)/.test(line)) }
  } finally {
    rmSync(folder, { recursive: true })
  }
}

test('the tests succeed with a failure that is listed, and print it', () => {
  expect(runTests(PASSING + FAILING, KNOWN)).toEqual({ status: 0, verdicts: ['known failure: fails'] })
})

test('the tests succeed with a listed test that passes, and print it', () => {
  expect(runTests(PASSING, 'test: passes\n')).toEqual({ status: 0, verdicts: ['passes, but is listed in KNOWN-RED.txt: passes'] })
})

test.each([
  ['a failure that is not listed', PASSING + FAILING, '', 'FAILED: fails'],
  ['a file that cannot be loaded', "import './missing.js'\n", KNOWN, 'missing.js'],
  ['a hook that fails beside a listed failure', `describe('suite', () => { afterAll(() => { throw new Error('of the hook') })\n${FAILING}})\n`, KNOWN, 'of the hook'],
  ['an error that nothing handles', 'test(\'passes\', () => { setTimeout(() => { throw new Error(\'of nobody\') }) })\ntest(\'waits\', () => new Promise(resolve => setTimeout(resolve, 200)))\n', KNOWN, 'of nobody'],
  ['a file without tests', '', KNOWN, 'FAILED']
])('the tests fail on %s', (_name, source, knownFailures, cause) => {
  const { status, verdicts } = runTests(source, knownFailures)
  expect(status).toBe(1)
  expect(verdicts.join('\n')).toContain(cause)
})
