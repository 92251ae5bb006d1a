/**
 * Times at which faults were active.
 */

/** Time after the end of a fault during which its effects may last, in milliseconds: processes need it to reconnect. */
const RECOVERY_MILLISECONDS = 3_000

/** Records the intervals of faults, because some guarantees hold only while no fault is active. */
export class FaultIntervals {
  private readonly _intervals: { readonly from: number, until: number }[] = []

  /** Opens an interval at the start of a fault; the returned function closes it. */
  begin (): () => void {
    const interval = { from: Date.now(), until: Infinity }
    this._intervals.push(interval)
    return () => { interval.until = Date.now() + RECOVERY_MILLISECONDS }
  }

  /** Adds the interval of a fault that is over (epoch milliseconds). */
  add (from: number, until: number): void {
    this._intervals.push({ from, until: until + RECOVERY_MILLISECONDS })
  }

  /** Whether no fault, with its recovery time, overlaps the time between two moments (epoch milliseconds). */
  isFaultFree (from: number, until: number): boolean {
    return !this._intervals.some(fault => fault.from <= until && fault.until >= from)
  }
}
