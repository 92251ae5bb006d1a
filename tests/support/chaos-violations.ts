/**
 * Checks of a chaos run, based on what callers and endpoints saw.
 */
import { CHANGE_PROPAGATION_LIMIT_MILLISECONDS, type ChaosRunner, type Interval } from './chaos-runner.js'

/**
 * Names of the checks. `once`: a POST request ran more than once. `whole`: a request was answered with a wrong or
 * incomplete body, or without having run. `not-run`: a request ran although all of its outcomes were not-run. `limit`: the team exceeded its
 * upper limit. `key`: a request with a withdrawn key was answered. `zone`: a request started in a zone that was out.
 * `pool`: a request ran on an endpoint of another pool. `graceful`: a planned reboot interrupted a request.
 * `budget`: fewer VMs of a pool than its minimum were available.
 */
export type ChaosCheck = 'once' | 'whole' | 'not-run' | 'limit' | 'key' | 'zone' | 'pool' | 'graceful' | 'budget'

/** Returns all violations of a run, by check. */
export function chaosViolations (run: ChaosRunner): Map<ChaosCheck, string[]> {
  const violations = new Map<ChaosCheck, string[]>()
  const add = (check: ChaosCheck, text: string): void => { violations.set(check, [...(violations.get(check) ?? []), text]) }
  const executions = [...run.endpoints.values()].flatMap(endpoint => endpoint.executions.map(execution => ({ endpoint, execution })))
  const countsByMark = new Map<string, number>()
  for (const { execution } of executions) countsByMark.set(execution.mark, (countsByMark.get(execution.mark) ?? 0) + 1)
  const outcomesByMark = new Map<string, string[]>()
  for (const { mark, outcome } of run.sentRequests) outcomesByMark.set(mark, [...(outcomesByMark.get(mark) ?? []), outcome])

  for (const { mark, method, outcome, body, key, zone, sentAt } of run.sentRequests) {
    const count = countsByMark.get(mark) ?? 0
    if (method === 'POST' && count > 1) add('once', `${mark} ran ${count} times`)
    if (outcome === 'answered' && (body !== mark || count === 0)) add('whole', `${mark} got the body ${body}`)
    const isAlwaysNotRun = outcomesByMark.get(mark)?.every(other => other === 'not-run')
    if (outcome === 'not-run' && isAlwaysNotRun && count > 0) add('not-run', `${mark} ran`)
    const withdrawal = run.intervals.find(interval => interval.subject === key)
    const isLate = withdrawal && sentAt > withdrawal.from + CHANGE_PROPAGATION_LIMIT_MILLISECONDS
    if (isLate && outcome === 'answered' && !wasPartitioned(run.partitions, zone, withdrawal.from, sentAt)) add('key', `${mark} was answered`)
  }
  for (const { endpoint, execution } of executions) {
    if (execution.queuePool !== execution.endpointPool) add('pool', `${execution.mark} ran on an endpoint of pool ${execution.endpointPool}`)
    const request = run.sentRequests.find(({ mark }) => mark === execution.mark)
    const zoneOutage = run.intervals.find(interval => interval.subject === `zone ${endpoint.zone}` && execution.startedAt > interval.from + CHANGE_PROPAGATION_LIMIT_MILLISECONDS && execution.startedAt < interval.to)
    if (zoneOutage && request && !wasPartitioned(run.partitions, request.zone, zoneOutage.from, execution.startedAt)) add('zone', `${execution.mark} started on ${endpoint.id}`)
  }
  if (run.peakRunning > run.teamUpperLimit) add('limit', `${run.peakRunning} requests of the team ran at once`)
  if (run.fewestAvailable < 2) add('budget', `${run.fewestAvailable} VMs of a pool were available`)
  for (const endpoint of run.endpoints.values()) if (endpoint.cutByReboot > 0) add('graceful', `requests on ${endpoint.id} interrupted by reboots: ${endpoint.cutByReboot}`)
  return violations
}

/**
 * Whether a zone was partitioned at some time between `from` and `to`. What a process in it then does with a stale view
 * is set by the cut-off policy, and is no violation.
 */
function wasPartitioned (partitions: readonly Interval[], zone: string, from: number, to: number): boolean {
  return partitions.some(partition => partition.subject === zone && partition.from <= to && partition.to + CHANGE_PROPAGATION_LIMIT_MILLISECONDS >= from)
}
