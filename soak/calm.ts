/**
 * When nothing was being harmed.
 */

/** How long after the end of a fault its effects may last, in milliseconds: processes have to be in touch for so long. */
const AFTERMATH_MILLISECONDS = 3_000

/** Keeps the faults' times, since some promises hold only away from faults. */
export class Calm {
  private readonly _faults: { readonly from: number, until: number }[] = []

  /** A fault begins; the returned function ends it. */
  begin (): () => void {
    const fault = { from: Date.now(), until: Infinity }
    this._faults.push(fault)
    return () => { fault.until = Date.now() + AFTERMATH_MILLISECONDS }
  }

  /** Whether no fault was near between two moments (epoch milliseconds). */
  isCalm (from: number, until: number): boolean {
    return !this._faults.some(fault => fault.from <= until && fault.until >= from)
  }
}
