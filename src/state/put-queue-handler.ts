/**
 * Handler of the `put-queue` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { PutCommand } from '../schemas/put-command.js'
import type { FleetState } from './fleet-state.js'
import { PutHandler } from './put-handler.js'

/** Creates or replaces a queue, whose pool must exist. */
export class PutQueueHandler extends PutHandler<'put-queue'> {
  override readonly kind = 'put-queue'

  protected override versionOf (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-queue' }>): number {
    return state.queues.get(value.name)?.version ?? 0
  }

  protected override store (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-queue' }>, version: number): void {
    state.queues.set(value.name, { value, version })
    state.longestTimeoutMilliseconds = Math.max(state.longestTimeoutMilliseconds, value.maximumTimeoutMilliseconds)
  }

  protected override checkReferences (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-queue' }>): Finding[] {
    const findings: Finding[] = []
    if (!state.pools.has(value.pool)) {
      findings.push({ path: '$.pool', code: 'not-found', message: `pool ${value.pool} does not exist` })
    }
    if (value.defaultTimeoutMilliseconds > value.maximumTimeoutMilliseconds) {
      findings.push({ path: '$.defaultTimeoutMilliseconds', code: 'invalid', message: 'must not exceed maximumTimeoutMilliseconds' })
    }
    return findings
  }
}
