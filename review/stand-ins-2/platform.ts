/**
 * The platform as a process of its own: the project's emulator of the store, the VM interface and the workers, served on loopback addresses.
 * Writes one JSON object a line to standard output: first the addresses, then each run that a worker has started or ended.
 */
import { createHash } from 'node:crypto'
import { SystemClock } from '../../src/supervision/system-clock.js'
import { EmulatorServer } from '../../stand-ins/emulator/emulator-server.js'
import type { EmulatedWorker } from '../../stand-ins/emulator/emulated-worker.js'
import { PlatformEmulator } from '../../stand-ins/emulator/platform-emulator.js'

/** Zones of the workers. */
const ZONES = ['a', 'b', 'c'] as const

/** Bounds of the duration of a run, in milliseconds. */
const RUN_MILLISECONDS = { minimum: 200, maximum: 800 }

/** Time between two looks at the workers, in milliseconds. */
const REPORT_INTERVAL_MILLISECONDS = 100

const [network = '127.90', workerCount = '6', pool = 'work', hosts = ''] = process.argv.slice(2)

const write = (line: object): void => { process.stdout.write(`${JSON.stringify(line)}\n`) }

/** Duration of a run: the same for each run of a task. */
function durationOf (task: string): number {
  const { minimum, maximum } = RUN_MILLISECONDS
  return minimum + createHash('sha256').update(task).digest().readUInt16BE(0) % (maximum - minimum)
}

const pendingWorkers: Promise<unknown>[] = []
const emulator = new PlatformEmulator(new SystemClock(), task => ({ milliseconds: durationOf(task), result: 'done' }), network, worker => prepare(worker))
const server = new EmulatorServer(emulator)
const served = new Set<string>()

function prepare (worker: EmulatedWorker): void {
  if (served.has(worker.address)) return
  served.add(worker.address)
  pendingWorkers.push(server.serveAt(worker.address, worker.address))
}

for (let index = 0; index < Number(workerCount); index++) emulator.addVirtualMachine(pool, ZONES[index % ZONES.length] ?? '', `r${Math.floor(index / 4)}`)
await Promise.all(pendingWorkers)
emulator.publish('config', {
  version: 1,
  routes: hosts.split(',').map((host, index) => ({ name: `queue-${index}`, host, path_prefix: '/q/', service: pool, target_latency_ms: 600, priority: 0, max_attempts: 3, stretch: 1.6 })),
  services: [{ name: pool, rejects_overload: true }, { name: 'standby', standby: true, rejects_overload: true }],
  tenants: [{ name: 'tenant', api_keys: ['key-0'], weight: 10, max_count: { cpu: 0, mem_mb: 0, gpus: 0 } }],
  limits: { max_body_bytes: 262_144 }
})
write({ store: await server.serve(emulator.addresses.store), machines: await server.serve(emulator.addresses.machines) })

let starts = new Map<EmulatedWorker, number>()
let ends = new Map<EmulatedWorker, number>()
setInterval(() => {
  const nextStarts = new Map<EmulatedWorker, number>()
  const nextEnds = new Map<EmulatedWorker, number>()
  for (const worker of emulator.workerIncarnations) {
    worker.completeDueRuns()
    for (const { task, run } of worker.starts.slice(starts.get(worker) ?? 0)) write({ started: task, run, worker: worker.id })
    for (const { task, run, result } of worker.completions.slice(ends.get(worker) ?? 0)) write({ ended: task, run, worker: worker.id, how: result })
    nextStarts.set(worker, worker.starts.length)
    nextEnds.set(worker, worker.completions.length)
  }
  starts = nextStarts
  ends = nextEnds
}, REPORT_INTERVAL_MILLISECONDS)
