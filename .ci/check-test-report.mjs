// Checks a JSON report of vitest: succeeds only if tests ran and every failed test is listed in KNOWN-RED.txt.
// usage: node .ci/check-test-report.mjs REPORT
import { readFileSync } from 'node:fs'

const knownTitles = readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length))
const { testResults, numTotalTests } = JSON.parse(readFileSync(process.argv[2], 'utf8'))
const failed = testResults.flatMap(file => file.assertionResults).filter(test => test.status === 'failed').map(test => test.title)
const brokenFiles = testResults.filter(file => file.status === 'failed' && !file.assertionResults.some(test => test.status === 'failed'))
const unexpected = failed.filter(title => !knownTitles.includes(title))
for (const title of failed) console.log(`${knownTitles.includes(title) ? 'known failure' : 'FAILED'}: ${title}`)
process.exit(unexpected.length + brokenFiles.length === 0 && numTotalTests > 0 ? 0 : 1)
