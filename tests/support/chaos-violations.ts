/**
 * What must always hold, judged by what callers and endpoints saw.
 */
import { FEW_SECONDS_MILLISECONDS, type ChaosRunner, type Span } from './chaos-runner.js'

/** Names of the checks. */
export type ChaosCheck = 'once' | 'whole' | 'not-run' | 'limit' | 'key' | 'zone' | 'pool' | 'graceful' | 'budget'

/** All violations of a run by check. */
export function chaosViolations (run: ChaosRunner): Map<ChaosCheck, string[]> {
  const findings = new Map<ChaosCheck, string[]>()
  const add = (check: ChaosCheck, text: string): void => { findings.set(check, [...(findings.get(check) ?? []), text]) }
  const runs = [...run.endpoints.values()].flatMap(endpoint => endpoint.runs.map(entry => ({ endpoint, entry })))
  const counts = new Map<string, number>()
  for (const { entry } of runs) counts.set(entry.mark, (counts.get(entry.mark) ?? 0) + 1)
  const bySender = new Map<string, string[]>()
  for (const { mark, outcome } of run.sentRequests) bySender.set(mark, [...(bySender.get(mark) ?? []), outcome])

  for (const { mark, method, outcome, body, key, zone, sentAt } of run.sentRequests) {
    const count = counts.get(mark) ?? 0
    if (method === 'POST' && count > 1) add('once', `${mark} ran ${count} times`)
    if (outcome === 'answered' && (body !== mark || count === 0)) add('whole', `${mark} got ${body}`)
    const isOnlyRefused = bySender.get(mark)?.every(other => other === 'not-run')
    if (outcome === 'not-run' && isOnlyRefused && count > 0) add('not-run', `${mark} ran`)
    const withdrawn = run.spans.find(span => span.what === key)
    const isLate = withdrawn && sentAt > withdrawn.from + FEW_SECONDS_MILLISECONDS
    if (isLate && outcome === 'answered' && !isCutIn(run.cuts, zone, withdrawn.from, sentAt)) add('key', `${mark} was answered`)
  }
  for (const { endpoint, entry } of runs) {
    if (entry.queuePool !== entry.endpointPool) add('pool', `${entry.mark} ran in ${entry.endpointPool}`)
    const sender = run.sentRequests.find(({ mark }) => mark === entry.mark)
    const out = run.spans.find(span => span.what === `zone ${endpoint.zone}` && entry.startedAt > span.from + FEW_SECONDS_MILLISECONDS && entry.startedAt < span.to)
    if (out && sender && !isCutIn(run.cuts, sender.zone, out.from, entry.startedAt)) add('zone', `${entry.mark} started on ${endpoint.id}`)
  }
  if (run.peakRunning > run.limit) add('limit', `${run.peakRunning} ran at once`)
  if (run.fewestUp < 2) add('budget', `${run.fewestUp} VMs of a pool were up`)
  for (const endpoint of run.endpoints.values()) if (endpoint.cutByReboot > 0) add('graceful', `${endpoint.id} cut ${endpoint.cutByReboot}`)
  return findings
}

/** Whether a zone was cut off at some time in a span; what it cannot know is policy, not a violation. */
function isCutIn (cuts: readonly Span[], zone: string, from: number, to: number): boolean {
  return cuts.some(cut => cut.what === zone && cut.from <= to && cut.to + FEW_SECONDS_MILLISECONDS >= from)
}
