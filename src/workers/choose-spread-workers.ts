/**
 * Choice of workers that are unlikely to be lost together.
 */
import type { FleetWorker } from '../workers/fleet-worker.js'

/** Workers that share pool, rack and availability zone. */
interface WorkerGroup {
  /** What they share, each of which may be lost as a whole. */
  readonly domains: readonly string[]
  readonly workers: FleetWorker[]
}

/** Returns up to `count` workers, spread evenly over pools, racks and availability zones. */
export function chooseSpreadWorkers (workers: Iterable<FleetWorker>, count: number): FleetWorker[] {
  const groups = groupByDomains(workers)
  const chosenByDomain = new Map<string, number>()
  const chosenIn = ({ domains }: WorkerGroup): number => domains.reduce((sum, domain) => sum + (chosenByDomain.get(domain) ?? 0), 0)
  const chosen: FleetWorker[] = []
  while (chosen.length < count) {
    let next: WorkerGroup | null = null
    for (const group of groups) if (group.workers.length > 0 && (next === null || chosenIn(group) < chosenIn(next))) next = group
    const worker = next?.workers.shift()
    if (!next || !worker) break
    chosen.push(worker)
    for (const domain of next.domains) chosenByDomain.set(domain, (chosenByDomain.get(domain) ?? 0) + 1)
  }
  return chosen
}

function groupByDomains (workers: Iterable<FleetWorker>): WorkerGroup[] {
  const groups = new Map<string, WorkerGroup>()
  for (const worker of workers) {
    const { rack, entry: { pool, availabilityZone } } = worker
    const domains = [`zone ${availabilityZone}`, `rack ${availabilityZone} ${rack}`, `pool ${pool}`]
    const key = domains.join(' ')
    const group = groups.get(key) ?? { domains, workers: [] }
    group.workers.push(worker)
    groups.set(key, group)
  }
  return [...groups.values()]
}
