/**
 * Handler of the `release-worker` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { TaskCommand } from '../schemas/task-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { versionFinding } from './version-finding.js'

/** Releases a worker from quarantine and clears its recorded failures. */
export class ReleaseWorkerHandler extends CommandHandler<'release-worker'> {
  override readonly kind = 'release-worker'

  override check (state: FleetState, command: Extract<TaskCommand, { kind: 'release-worker' }>, _context: FoldContext): Finding[] {
    const worker = state.workers.get(command.worker)
    if (!worker) return [{ path: '$.worker', code: 'not-found', message: `worker ${command.worker} does not exist` }]
    return versionFinding('$.worker', command.expectedVersion, worker.version)
  }

  override apply (state: FleetState, command: Extract<TaskCommand, { kind: 'release-worker' }>, context: FoldContext): void {
    const worker = state.workers.get(command.worker)
    if (worker) state.workers.set(command.worker, { ...worker, isQuarantined: false, provedFailures: [], version: context.offset })
  }
}
