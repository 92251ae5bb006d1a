/**
 * Lists of VMs that lag behind.
 */
import { Disturbance } from './disturbance.js'
import type { DisturbedFleet } from './disturbed-fleet.js'

/** Lets the lists show what was true before they were requested, and take a time. */
export class ListLag extends Disturbance<null> {
  override readonly name: string

  /**
   * @param _ageMilliseconds age of the rows.
   * @param _listMilliseconds time that a list takes.
   */
  constructor (private readonly _ageMilliseconds: number, private readonly _listMilliseconds: number) {
    super()
    this.name = `lists ${_ageMilliseconds} ms old that take ${_listMilliseconds} ms`
  }

  override begin ({ fleet: { emulator: { faults: { virtualMachines } } } }: DisturbedFleet): void {
    virtualMachines.listAgeMilliseconds = this._ageMilliseconds
    virtualMachines.listMilliseconds = this._listMilliseconds
  }
}
