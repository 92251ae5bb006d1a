/**
 * Checks of the demo, based on what callers and endpoints observed.
 */
import type { DemoFleet } from './demo-fleet.js'
import type { DemoTraffic } from './demo-traffic.js'

/** Collects report lines and violations of the system's guarantees. */
export class DemoReport {
  private readonly _violations: string[] = []
  private readonly _lines: string[] = []

  addLine (line: string): void {
    this._lines.push(line)
  }

  /** Adds a violation unless the condition holds. */
  check (holds: boolean, violation: string): void {
    if (!holds) this._violations.push(violation)
  }

  /** Compares the responses that callers received with the requests that ran on endpoints. */
  async evaluate (traffic: DemoTraffic, fleet: DemoFleet): Promise<void> {
    const ledgers = await Promise.all(fleet.virtualMachines.map(virtualMachine => fleet.readLedger(virtualMachine)))
    const runsByMark = new Map<string, number>()
    for (const { ledger } of ledgers) for (const { mark } of ledger) runsByMark.set(mark, (runsByMark.get(mark) ?? 0) + 1)
    const requestsByLabel = new Map<string, number>()
    for (const { mark, isPosting, result, reason } of traffic.sentRequests) {
      const label = reason ? `${result} (${reason})` : result
      requestsByLabel.set(label, (requestsByLabel.get(label) ?? 0) + 1)
      const runs = runsByMark.get(mark) ?? 0
      this.check(!isPosting || runs <= 1, `posting ${mark} ran ${runs} times`)
      this.check(result !== 'answered' || runs >= 1, `request ${mark} was answered and never ran`)
      this.check(result !== 'not-run' || runs === 0, `request ${mark} was refused as not run, and ran`)
      this.check(result !== 'broken' && result !== 'wrong', `request ${mark} got ${result}: ${reason}`)
      this.check(!isPosting || result !== 'unknown', `posting ${mark} has an unknown outcome: ${reason}`)
    }
    for (const [label, count] of requestsByLabel) this.addLine(`requests ${label}: ${count}`)
    const interrupted = ledgers.reduce((sum, { cutByReboot }) => sum + cutByReboot, 0)
    this.check(interrupted === 0, `${interrupted} requests were interrupted by reboots`)
  }

  /** Prints the lines and violations; returns whether all checks passed. */
  print (): boolean {
    for (const line of this._lines) console.log(line)
    for (const violation of this._violations.slice(0, 20)) console.log(`VIOLATION: ${violation}`)
    console.log(this._violations.length === 0 ? 'all checks passed: no request was lost or ran twice' : `${this._violations.length} violations`)
    return this._violations.length === 0
  }
}
