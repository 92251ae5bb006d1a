// Runs the tests. Succeeds only if tests ran and everything that failed is a test listed in KNOWN-RED.txt; prints those that failed, and those that pass again.
// usage: node .ci/run-tests.mjs [VITEST ARGUMENT...]
import { existsSync, readFileSync } from 'node:fs'
import { parseCLI, startVitest } from 'vitest/node'

/** Tests that measure a process's memory and descriptors: they run after all others and one at a time, since other load changes what they measure. */
const ISOLATED_FOLDER = 'tests/misbehaving-clients/'

/** Tests of leases and takeovers, which run once more with the other longest lease that deployments have. */
const LEASE_TESTS = ['inherited-starts', 'late-starts', 'lease-', 'mixed-series', 'restart-series', 'settled-starts', 'silent-named-workers', 'starts-', 'takeover-', 'unsettled-starts'].map(name => `tests/${name}`)

/** That longest lease, in milliseconds; 6 s is what fleets have unless they are given another. */
const OTHER_MAXIMUM_LEASE_MILLISECONDS = '10000'

const knownTitles = readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length))
const { filter, options } = parseCLI(['vitest', 'run', ...process.argv.slice(2)])

/** Runs vitest once and returns the tests and the errors outside them: a file that can't be loaded, a hook of a file or a suite, or an error that nothing has handled. */
async function run (filter, runOptions) {
  const vitest = await startVitest('test', filter, { ...options, ...runOptions, watch: false })
  const modules = vitest.state.getTestModules()
  const label = runOptions.env ? ` (longest lease ${runOptions.env.MAXIMUM_LEASE_MILLISECONDS} ms)` : ''
  const tests = modules.flatMap(module => [...module.children.allTests()].map(test => ({ name: test.name, state: test.result().state, label })))
  const errors = [
    ...modules.flatMap(module => [...module.errors(), ...[...module.children.allSuites()].flatMap(suite => suite.errors())].map(error => `${module.moduleId}: ${error.message}`)),
    ...vitest.state.getUnhandledErrors().map(error => `unhandled: ${error?.message ?? error}`)
  ]
  await vitest.close()
  return { tests, errors }
}

const isIsolated = name => name.includes(ISOLATED_FOLDER.slice(0, -1))
const isolatedFilter = filter.length === 0 ? [ISOLATED_FOLDER] : filter.filter(isIsolated)
const otherFilter = filter.filter(name => !isIsolated(name))
const runs = []
if (filter.length === 0 || otherFilter.length > 0) runs.push(await run(otherFilter, { exclude: ['**/node_modules/**', `${ISOLATED_FOLDER}**`] }))
if (filter.length === 0) runs.push(await run(LEASE_TESTS, { env: { MAXIMUM_LEASE_MILLISECONDS: OTHER_MAXIMUM_LEASE_MILLISECONDS } }))
if (isolatedFilter.length > 0 && existsSync(ISOLATED_FOLDER)) runs.push(await run(isolatedFilter, { fileParallelism: false }))
const tests = runs.flatMap(({ tests }) => tests)
const otherErrors = runs.flatMap(({ errors }) => errors)
const failed = tests.filter(({ state }) => state === 'failed')

for (const { name, label } of failed) console.log(`${knownTitles.includes(name) ? 'known failure' : 'FAILED'}: ${name}${label}`)
for (const { name, label } of tests.filter(({ name, state }) => state === 'passed' && knownTitles.includes(name))) console.log(`passes, but is listed in KNOWN-RED.txt: ${name}${label}`)
for (const error of otherErrors) console.log(`FAILED: ${error}`)
if (tests.length === 0) console.log('FAILED: no tests')
process.exitCode = tests.length > 0 && otherErrors.length === 0 && failed.every(({ name }) => knownTitles.includes(name)) ? 0 : 1
