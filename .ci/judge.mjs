// Passes over failures that KNOWN-RED.txt names, and over nothing else.
import { readFileSync } from 'node:fs'

const known = readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length))
const { testResults, numTotalTests } = JSON.parse(readFileSync(process.argv[2], 'utf8'))
const failed = testResults.flatMap(file => file.assertionResults).filter(test => test.status === 'failed').map(test => test.title)
const brokenFiles = testResults.filter(file => file.status === 'failed' && !file.assertionResults.some(test => test.status === 'failed'))
const unexpected = failed.filter(title => !known.includes(title))
for (const title of failed) console.log(`${known.includes(title) ? 'known failure' : 'FAILED'}: ${title}`)
process.exit(unexpected.length + brokenFiles.length === 0 && numTotalTests > 0 ? 0 : 1)
