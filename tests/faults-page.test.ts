/**
 * Checks that the fault matrix in docs/FAULTS.md names only tests that exist and run, and states the right numbers of cells.
 */
import { readdirSync, readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'

const PAGE = readFileSync('docs/FAULTS.md', 'utf8').split('\n')

/** Rows of the table between two headings, without its header row, each as an array of its cells. */
function rows (from: string, to: string): string[][] {
  const start = PAGE.findIndex(line => line.startsWith(from))
  const end = PAGE.findIndex((line, index) => index > start && line.startsWith(to))
  return PAGE.slice(start + 1, end < 0 ? undefined : end)
    .filter(line => line.startsWith('| ') && !line.startsWith('| ---'))
    .map(line => line.slice(2, -2).split(' | '))
    .slice(1)
}

const TESTS = rows('## Tests', '## ')
const CELLS = rows('Cells:', '## ').flatMap(row => row.slice(1))

describe('docs/FAULTS.md', () => {
  it.each(TESTS)('%s names a test in %s', (_code, file = '', name = '') => {
    const source = readFileSync(file, 'utf8').replaceAll('\\\'', '\'')
    expect(source).toContain(name)
  })

  it('uses only codes and reasons that it defines', () => {
    const known = new Set([...TESTS.map(([code]) => code), 'open', ...PAGE.flatMap(line => /^- `(n\d)`/.exec(line)?.[1] ?? [])])
    const used = [...CELLS, ...rows('## Pairs', '## ').map(row => row[2] ?? '')].flatMap(cell => cell.split(' '))
    expect(used.filter(code => !known.has(code))).toEqual([])
  })

  it('states how many of its cells are covered, impossible and open', () => {
    const open = CELLS.filter(cell => cell === 'open').length
    const impossible = CELLS.filter(cell => /^n\d$/.test(cell)).length
    expect(PAGE).toContain(`Cells: ${CELLS.length - open - impossible} covered, ${impossible} impossible, ${open} open.`)
  })

  it('relies on tests that run: none is skipped or run alone', () => {
    for (const file of readdirSync('tests').filter(name => name.endsWith('.test.ts'))) {
      expect(readFileSync(`tests/${file}`, 'utf8')).not.toMatch(/\b(it|describe|test)\.(skip|only|todo)\b|\.skipIf\(/)
    }
  })
})
