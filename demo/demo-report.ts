/**
 * Judges the demo by what callers and endpoints saw.
 */
import type { DemoFleet } from './demo-fleet.js'
import type { DemoTraffic } from './demo-traffic.js'

/** Counts, and everything that must not have happened. */
export class DemoReport {
  private readonly _faults: string[] = []
  private readonly _lines: string[] = []

  /** Adds a line of the report. */
  note (line: string): void {
    this._lines.push(line)
  }

  /** Adds a fault unless the condition holds. */
  demand (holds: boolean, fault: string): void {
    if (!holds) this._faults.push(fault)
  }

  /** Compares what callers were told with what endpoints ran. */
  async judge (traffic: DemoTraffic, fleet: DemoFleet): Promise<void> {
    const ledgers = await Promise.all(fleet.machines.map(machine => fleet.ledger(machine)))
    const runs = new Map<string, number>()
    for (const { ledger } of ledgers) for (const { mark } of ledger) runs.set(mark, (runs.get(mark) ?? 0) + 1)
    const counts = new Map<string, number>()
    for (const { mark, isPosting, result, reason } of traffic.sent) {
      const label = reason ? `${result} (${reason})` : result
      counts.set(label, (counts.get(label) ?? 0) + 1)
      const count = runs.get(mark) ?? 0
      this.demand(!isPosting || count <= 1, `posting ${mark} ran ${count} times`)
      this.demand(result !== 'answered' || count >= 1, `request ${mark} was answered and never ran`)
      this.demand(result !== 'not-run' || count === 0, `request ${mark} was refused as not run, and ran`)
      this.demand(result !== 'broken' && result !== 'wrong', `request ${mark} got ${result}: ${reason}`)
      this.demand(!isPosting || result !== 'unknown', `posting ${mark} is in doubt: ${reason}`)
    }
    for (const [label, count] of counts) this.note(`requests ${label}: ${count}`)
    const cut = ledgers.reduce((sum, { cutByReboot }) => sum + cutByReboot, 0)
    this.demand(cut === 0, `${cut} requests were cut by reboots`)
  }

  /** Prints everything; true if all held. */
  print (): boolean {
    for (const line of this._lines) console.log(line)
    for (const fault of this._faults.slice(0, 20)) console.log(`FAULT: ${fault}`)
    console.log(this._faults.length === 0 ? 'all held: nothing lost, nothing doubled' : `${this._faults.length} faults`)
    return this._faults.length === 0
  }
}
