/**
 * A table of the times between runs, by kind of silence, of silent workers and of owner's end.
 */
import type { SeriesPlan } from './series-plan.js'
import type { SeriesResult } from './series-result.js'

/** Time within which a task that was lost in a calm fleet has to run again, in milliseconds. */
const TARGET_MILLISECONDS = 9_000

/** The times of one row. */
interface Row {
  readonly times: number[]
  /** Number of gaps that were longer than the users' rule allows. */
  late: number
  violations: number
}

/** Collects series and prints their times as a Markdown table. */
export class SeriesTable {
  private readonly _rows = new Map<string, Row>()

  /** Adds a series to the row of its kinds, and to that of all series; each row once for each kind of tasks. */
  add ({ silence, silentWorkers, ownerEnd, fleet }: SeriesPlan, { gaps, lateGaps, violations }: SeriesResult): void {
    const kindOfFinding = (finding: string): string => fleet.kindOf(finding.slice(0, finding.indexOf(':')))
    for (const key of [`${silence.kind.name} | ${ownerEnd.kind.name}`, `${silence.kind.name} | any`, `any | ${ownerEnd.kind.name}`, `${silentWorkers.name} | any`, 'any | any']) {
      for (const { task, endedAt, nextStartAt } of gaps) this._row(key, fleet.kindOf(task)).times.push(nextStartAt - endedAt)
      for (const gap of lateGaps) this._row(key, kindOfFinding(gap)).late += 1
      for (const violation of violations) this._row(key, kindOfFinding(violation)).violations += 1
      this._row(key, fleet.kindOf(''))
    }
  }

  toString (): string {
    const header = ['| silence | owner\'s end | gaps | min s | median s | max s | over 9 s | late | two runs |', '| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |']
    return [...header, ...[...this._rows].sort(([left], [right]) => left < right ? -1 : 1).map(([key, row]) => `| ${key} | ${this._cells(row).join(' | ')} |`)].join('\n')
  }

  /** Returns the row of a key and a kind of tasks, and creates it on first use. */
  private _row (key: string, kind: string): Row {
    const name = kind === '' ? key : `${kind}: ${key}`
    const row = this._rows.get(name) ?? { times: [], late: 0, violations: 0 }
    this._rows.set(name, row)
    return row
  }

  private _cells ({ times, late, violations }: Row): (string | number)[] {
    const sorted = [...times].sort((left, right) => left - right)
    const seconds = (ratio: number): string => {
      const time = sorted[Math.floor((sorted.length - 1) * ratio)]
      if (time === undefined) return '-'
      return time === Infinity ? 'never' : (time / 1_000).toFixed(2)
    }
    const share = sorted.length === 0 ? '-' : `${Math.round(sorted.filter(time => time > TARGET_MILLISECONDS).length / sorted.length * 100)}%`
    return [sorted.length, seconds(0), seconds(0.5), seconds(1), share, late, violations]
  }
}
