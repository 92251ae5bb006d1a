// Runs the tests. Succeeds only if tests ran and everything that failed is a test listed in KNOWN-RED.txt; prints those that failed, and those that pass again.
// usage: node .ci/run-tests.mjs [VITEST ARGUMENT...]
import { readFileSync } from 'node:fs'
import { parseCLI, startVitest } from 'vitest/node'

const knownTitles = readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length))
const { filter, options } = parseCLI(['vitest', 'run', ...process.argv.slice(2)])
const vitest = await startVitest('test', filter, { ...options, watch: false })
const modules = vitest.state.getTestModules()
const tests = modules.flatMap(module => [...module.children.allTests()])
const failed = tests.filter(test => test.result().state === 'failed')
// Errors outside tests: a file that can't be loaded, a hook of a file or a suite, or an error that nothing has handled.
const otherErrors = [
  ...modules.flatMap(module => [...module.errors(), ...[...module.children.allSuites()].flatMap(suite => suite.errors())].map(error => `${module.moduleId}: ${error.message}`)),
  ...vitest.state.getUnhandledErrors().map(error => `unhandled: ${error?.message ?? error}`)
]
await vitest.close()

for (const { name } of failed) console.log(`${knownTitles.includes(name) ? 'known failure' : 'FAILED'}: ${name}`)
for (const { name } of tests.filter(test => test.result().state === 'passed' && knownTitles.includes(test.name))) console.log(`passes, but is listed in KNOWN-RED.txt: ${name}`)
for (const error of otherErrors) console.log(`FAILED: ${error}`)
if (tests.length === 0) console.log('FAILED: no tests')
process.exitCode = tests.length > 0 && otherErrors.length === 0 && failed.every(({ name }) => knownTitles.includes(name)) ? 0 : 1
