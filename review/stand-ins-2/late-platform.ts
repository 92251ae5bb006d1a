/**
 * The platform of platform.ts, of which a minion gets one start late: `node late-platform.mjs NETWORK QUEUE-HOST DELAY-MS LEAD-MS`.
 * The start gets no answer. The minion loses power 0.1 s after it was sent, is back under its id LEAD-MS before the start arrives, and carries it out. With a delay of 0 nothing is disturbed.
 */
import { SystemClock } from '../../src/supervision/system-clock.js'
import { EmulatorServer } from '../../stand-ins/emulator/emulator-server.js'
import type { EmulatedWorker } from '../../stand-ins/emulator/emulated-worker.js'
import { PlatformEmulator } from '../../stand-ins/emulator/platform-emulator.js'

/** Time from the start to the loss of power, and `stop_grace_ms` of the site lsla-leave, in milliseconds. */
const POWER_LOSS_MILLISECONDS = 100
const STOP_MILLISECONDS = 400

/** Time from a minion's start until the store shows its entry, in milliseconds: `lag_ms` of the site's `discovery`. */
const REGISTRATION_MILLISECONDS = 800

const REPORT_INTERVAL_MILLISECONDS = 50

const [network = '127.90', host = '', delay = '0', lead = '0'] = process.argv.slice(2)

const record = (line: object): void => { process.stdout.write(`${JSON.stringify(line)}\n`) }
const at = (callback: () => void, time: number): void => { setTimeout(callback, Math.max(0, time - Date.now())) }

const pending: Promise<unknown>[] = []
const served = new Set<string>()
const emulator = new PlatformEmulator(new SystemClock(), () => ({ milliseconds: Infinity, result: 'done' }), network, worker => {
  if (served.has(worker.address)) return
  served.add(worker.address)
  pending.push(server.serveAt(worker.address, worker.address))
})
const server = new EmulatorServer(emulator)

const first = emulator.addVirtualMachine('work', 'a', 'r0')
for (const zone of ['b', 'c', 'a']) emulator.addVirtualMachine('work', zone, 'r1')
await Promise.all(pending)

if (first && Number(delay) > 0) {
  const { faults } = emulator
  Object.assign(faults, { lateStartMilliseconds: Number(delay), lateStartsReachSuccessors: true })
  let isDue = true
  faults.consumeLateStart = address => {
    if (!isDue || address !== first.address) return false
    isDue = false
    const sentAt = Date.now()
    record({ late: first.id, delay: Number(delay), at: sentAt })
    at(() => {
      emulator.outages.cutPower(first)
      record({ dark: first.id, at: Date.now() })
    }, sentAt + POWER_LOSS_MILLISECONDS)
    at(() => {
      faults.registrationMilliseconds = REGISTRATION_MILLISECONDS
      emulator.restart(first).stopMilliseconds = STOP_MILLISECONDS
      record({ back: first.id, at: Date.now() })
    }, sentAt + Number(delay) - Number(lead))
    return true
  }
}

emulator.publish('config', {
  version: 1,
  routes: [{ name: 'queue-0', host, path_prefix: '/q/', service: 'work', target_latency_ms: 600, priority: 0, max_attempts: 3, stretch: 1.6 }],
  services: [{ name: 'work', rejects_overload: true }],
  tenants: [{ name: 'tenant', api_keys: ['key-0'], weight: 10, max_count: { cpu: 0, mem_mb: 0, gpus: 0 } }],
  limits: { max_body_bytes: 262_144 }
})
record({ store: await server.serve(emulator.addresses.store), machines: await server.serve(emulator.addresses.machines) })

const shown = new Map<EmulatedWorker, { starts: number, completions: number }>()
setInterval(() => {
  for (const worker of emulator.workerIncarnations) {
    worker.completeDueRuns()
    const { starts, completions } = shown.get(worker) ?? { starts: 0, completions: 0 }
    for (const { task, run, startedAt } of worker.starts.slice(starts)) record({ started: task, run, worker: worker.id, at: Math.round(startedAt) })
    for (const { task, run, result, completedAt } of worker.completions.slice(completions)) record({ ended: task, run, worker: worker.id, how: result, at: Math.round(completedAt) })
    shown.set(worker, { starts: worker.starts.length, completions: worker.completions.length })
  }
}, REPORT_INTERVAL_MILLISECONDS)
