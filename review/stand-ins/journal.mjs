/**
 * What the minions have seen, and the check of rule TWICE on it.
 */

/** Starts and ends of all runs, in order. */
export class Journal {
  starts = []
  ends = []
  #lapses = new Map()

  /** @param write writes a line to the record of the case. */
  constructor (write) {
    this.write = write
  }

  started (minion, task, run, spec, checkpoint) {
    this.starts.push({ minion, task, run, at: Date.now() })
    this.write(`minion ${minion.id} starts ${task} run ${run} spec ${JSON.stringify(spec).slice(0, 40)}${checkpoint === '' ? '' : ` checkpoint ${checkpoint}`}`)
  }

  ended (minion, { task, run }, how, number) {
    const end = { minion, task, run, how, number, at: Date.now(), notedAt: Infinity }
    this.ends.push(end)
    this.write(`minion ${minion.id} ended ${task} run ${run} ${how} as ${number}`)
    return end
  }

  /** An end is taken note of when it is acknowledged, unless the minion's lease ran out in between. */
  noted (end) {
    const lapsedAt = this.#lapses.get(end.minion) ?? 0
    if (lapsedAt < end.at) end.notedAt = Math.min(end.notedAt, Date.now())
  }

  lapsed (minion) {
    this.#lapses.set(minion, Date.now())
  }

  /** Findings under rule TWICE: two runs at the same time, or a start after an end `done` that is taken note of. */
  twice () {
    const findings = []
    const endOf = ({ minion, task, run }) => this.ends.find(end => end.minion === minion && end.task === task && end.run === run)
    const startsByTask = Map.groupBy ? Map.groupBy(this.starts, ({ task }) => task) : groupByTask(this.starts)
    for (const [task, starts] of startsByTask) {
      if (starts.length < 2) continue
      for (const earlier of starts) {
        const end = endOf(earlier)
        for (const later of starts) {
          if (earlier === later || earlier.at > later.at || (earlier.at === later.at && earlier.run >= later.run)) continue
          if ((end?.at ?? Infinity) > later.at) findings.push(`${task}: run ${later.run} began on ${later.minion.id} while run ${earlier.run} was running on ${earlier.minion.id}`)
          if (end?.how === 'done' && end.at < later.at && end.notedAt < Infinity) findings.push(`${task}: run ${later.run} began on ${later.minion.id} ${later.at - end.at} ms after run ${earlier.run} had ended done on ${end.minion.id}; that end was taken note of`)
        }
      }
    }
    return findings
  }
}

function groupByTask (starts) {
  const groups = new Map()
  for (const start of starts) groups.set(start.task, [...groups.get(start.task) ?? [], start])
  return groups
}
