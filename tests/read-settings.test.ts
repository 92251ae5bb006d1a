/**
 * Settings files: checked whole, every finding with its place.
 */
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { Finding } from '../src/schemas/finding.js'
import { ControlSettings } from '../src/settings/control-settings.js'
import { EntrySettings } from '../src/settings/entry-settings.js'
import { readSettings } from '../src/settings/read-settings.js'

function findingsOf (text: string): Finding[] {
  const path = join(mkdtempSync(join(tmpdir(), 'samphireglade-test-')), 'entry.toml')
  writeFileSync(path, text)
  const result = readSettings(EntrySettings, path)
  return result.isLeft() ? result.extract() as Finding[] : []
}

const EXAMPLE = readFileSync('examples/entry.toml', 'utf8')

describe('settings', () => {
  it('of the examples hold', () => {
    expect(readSettings(EntrySettings, 'examples/entry.toml').isRight()).toBe(true)
    expect(readSettings(ControlSettings, 'examples/control.toml').isRight()).toBe(true)
  })

  it('report every finding at once, each with file and key path', () => {
    const text = EXAMPLE.replace('id = "entry-a1"', 'id = "Entry A1"').replace('port = 8080', 'port = 80800').replace('level = "info"', 'level = "loud"\nvolume = 11').replace('10.1.0.2', 'platform.example')
    const places = findingsOf(text).map(({ path }) => path.replace(/^.*entry\.toml/, ''))
    expect(places.sort()).toEqual(['.callers.address.port', '.logs.level', '.logs.volume', '.platform.address.host', '.process.id'])
  })

  it('say line and column where a file is not TOML, and name a file that isn\'t there', () => {
    expect(findingsOf(`${EXAMPLE}\nnot toml`)[0]?.path).toMatch(/entry\.toml:\d+:\d+$/)
    expect(readSettings(EntrySettings, '/nowhere/entry.toml').extract()).toMatchObject([{ code: 'not-found', path: '/nowhere/entry.toml' }])
  })

  it('never crash the reader, whatever the file holds', () => {
    fc.assert(fc.property(fc.string({ maxLength: 200 }), text => {
      expect(Array.isArray(findingsOf(text))).toBe(true)
    }), { seed: 20261204, numRuns: 50 })
  })
})
