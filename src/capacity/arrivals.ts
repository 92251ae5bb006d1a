/**
 * Work that has arrived within a window.
 */
import type { Resources } from '../jobs/resources.js'
import { addResources } from '../placement/add-resources.js'

const NO_RESOURCES: Resources = { millicores: 0, memoryMegabytes: 0, accelerators: 0 }

/** Sums up the work of jobs, in resources times the milliseconds for which they are used. */
export class Arrivals {
  private _total = NO_RESOURCES
  private _largest = NO_RESOURCES

  /** Work of all jobs but the largest, which alone says nothing about the rate. */
  get totalWithoutLargest (): Resources {
    return addResources(this._total, this._largest, -1)
  }

  /** Adds a job. */
  add (work: Resources): void {
    this._total = addResources(this._total, work)
    if (work.millicores > this._largest.millicores) this._largest = work
  }
}
