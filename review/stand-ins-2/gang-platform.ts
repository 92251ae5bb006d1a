/**
 * The platform of platform.ts with minions that run gangs: `node gang-platform.mjs NETWORK MINIONS QUEUE-HOST SIZE WORK-MS CRASH-AFTER-MS`.
 * The last one is counted from when the first gang works; 0 for no crash.
 */
import { SystemClock } from '../../src/supervision/system-clock.js'
import { EmulatorServer } from '../../stand-ins/emulator/emulator-server.js'
import type { EmulatedWorker } from '../../stand-ins/emulator/emulated-worker.js'
import { PlatformEmulator } from '../../stand-ins/emulator/platform-emulator.js'
import { GangMinion, Gangs } from './gang-minions.js'

/** Time for which the minion that crashes is down, in milliseconds: `for_s` of a crash in the site file is up to 4.5 s. */
const DOWN_MILLISECONDS = 3_000

const [network = '127.90', minionCount = '6', host = '', size = '3', work = '10000', crashAfter = '0'] = process.argv.slice(2)

const record = (line: object): void => { process.stdout.write(`${JSON.stringify(line)}\n`) }
const minions = new Map<EmulatedWorker, GangMinion>()
let isCrashPlanned = Number(crashAfter) > 0
const gangs = new Gangs(Number(size), Number(work), event => {
  record(event)
  if (!isCrashPlanned || !('gang' in event)) return
  isCrashPlanned = false
  setTimeout(crash, Number(crashAfter))
})

const pending: Promise<unknown>[] = []
const served = new Set<string>()
const emulator = new PlatformEmulator(new SystemClock(), () => ({ milliseconds: Infinity, result: 'done' }), network, prepare)
const server = new EmulatorServer(emulator)

function prepare (worker: EmulatedWorker): void {
  const minion = new GangMinion(worker.id, worker.startedAt, gangs, record)
  minions.set(worker, minion)
  worker.handle = (call, body) => minion.handle(call, body as never)
  if (served.has(worker.address)) return
  served.add(worker.address)
  pending.push(server.serveAt(worker.address, worker.address))
}

/** Crashes the minion with the most runs, which is back as another one on its machine. */
function crash (): void {
  const [worker] = [...minions.keys()].sort((left, right) => gangs.of(minions.get(right) as GangMinion).length - gangs.of(minions.get(left) as GangMinion).length)
  if (!worker) return
  record({ crashed: worker.id })
  minions.get(worker)?.crash()
  emulator.crash(worker)
  setTimeout(() => {
    emulator.restart(worker)
    record({ back: worker.id })
  }, DOWN_MILLISECONDS)
}

for (let index = 0; index < Number(minionCount); index++) emulator.addVirtualMachine('work', ['a', 'b', 'c'][index % 3] ?? '', `r${Math.floor(index / 4)}`)
await Promise.all(pending)
emulator.publish('config', {
  version: 1,
  routes: [{ name: 'queue-0', host, path_prefix: '/q/', service: 'work', target_latency_ms: 600, priority: 0, max_attempts: 3, stretch: 1.6 }],
  services: [{ name: 'work', rejects_overload: true }, { name: 'standby', standby: true, rejects_overload: true }],
  tenants: [{ name: 'tenant', api_keys: ['key-0'], weight: 10, max_count: { cpu: 0, mem_mb: 0, gpus: 0 } }],
  limits: { max_body_bytes: 262_144 }
})
let shownPools = ''
setInterval(() => {
  const counts = new Map<string, number>()
  for (const { pool, state, worker } of emulator.virtualMachines.byId.values()) if (state === 'up' && worker !== '') counts.set(pool, (counts.get(pool) ?? 0) + 1)
  const pools = JSON.stringify([...counts].sort())
  if (pools !== shownPools) record({ minionsByPool: [...counts] })
  shownPools = pools
}, 100)
record({ store: await server.serve(emulator.addresses.store), machines: await server.serve(emulator.addresses.machines) })
