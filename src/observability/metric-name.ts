/**
 * Names of all metrics; docs/METRICS.md describes them with their units.
 */
import * as z from 'zod'

/** Names of counters (no suffix), gauges (`.level`) and timings (`.milliseconds`). */
export const MetricName = z.enum([
  'log.records', 'log.unreadable_records', 'log.read_failures', 'log.cut', 'log.behind',
  'log.appends', 'log.appended_records', 'log.append_failures', 'log.shed_records',
  'state.offset.level', 'state.refused_stale', 'state.snapshot_bytes.level', 'state.snapshots_written', 'state.snapshots_loaded', 'state.snapshots_rejected',
  'peers.connected.level', 'peers.connects', 'peers.failures', 'peers.bytes', 'peers.invalid_messages', 'peers.silent_connections',
  'requests.accepted', 'requests.refused', 'requests.answered', 'requests.failed', 'requests.caller_gone', 'requests.retries', 'requests.crossed_answers', 'requests.cut_answers',
  'requests.waiting.level', 'requests.running.level', 'requests.wait.milliseconds', 'requests.total.milliseconds',
  'clients.refused',
  'endpoints.connections.level', 'endpoints.opened_connections', 'endpoints.refusals', 'endpoints.ejections', 'endpoints.probes', 'endpoints.silent_connections',
  'grants.units.level', 'grants.adjustments', 'claims.won', 'claims.joined', 'claims.unavailable',
  'feeds.lost', 'feeds.regained', 'feeds.skipped', 'configuration.version.level', 'journal.append_failures', 'journal.append.milliseconds', 'logs.dropped', 'logs.failed',
  'jobs.calls', 'jobs.submit.milliseconds', 'runs.started', 'runs.refused', 'runs.unsettled', 'runs.late_starts', 'runs.ended', 'runs.lost', 'runs.crashed', 'runs.stray', 'runs.paced', 'runs.start.milliseconds',
  'process.utilization.level', 'process.lag.milliseconds', 'placement.placed', 'placement.steps', 'placement.longest_wait.milliseconds', 'placement.tasks.level', 'advice.milliseconds', 'capacity.moves', 'capacity.shortage.level', 'placement.round.milliseconds', 'workers.hold_failures', 'workers.ended', 'workers.suspected_restarts', 'workers.health.level', 'workers.exclusions',
  'admission.decisions', 'admission.wait_milliseconds.level',
  'speculation.copies',
  'control.decisions', 'control.lease_losses', 'control.operations', 'supervision.restarts', 'supervision.failures'
])
export type MetricName = z.infer<typeof MetricName>
