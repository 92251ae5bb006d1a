/**
 * The state of one placement round.
 */
import type { RunIsolation } from '../crashes/run-isolation.js'
import type { Resources } from '../jobs/resources.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { RoundReport } from './round-report.js'

/** What the steps of one round share. */
export interface PlacementRound {
  readonly workersByPool: ReadonlyMap<string, FleetWorker[]>
  /** Demands that fit on no worker, by pool: demands at least as large are skipped. */
  readonly unplaceableByPool: Map<string, Resources[]>
  readonly isolation: RunIsolation
  readonly report: RoundReport
  /** Number of tasks of no use any more that the round may still place. */
  obsoleteTasksLeft: number
}
