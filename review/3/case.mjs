/**
 * An entry of another writer in the registry names the address of a minion: everything on that minion is started a second time elsewhere.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase, sleep } from '../stand-ins/site.mjs'

const TASK_CPU = 3_200
const TASK_MS = 10_000
const TASKS = 8

await runCase(dirname(fileURLToPath(import.meta.url)), async site => {
  site.configure([{ name: 'balance-check', path_prefix: '/balance-check/' }])
  const outcome = () => ({ ms: TASK_MS, how: 'done', cpu: TASK_CPU })
  for (let index = 0; index < 6; index++) await site.addMinion({ id: `minion-${index}`, rack: `r${Math.floor(index / 4)}`, outcome })
  await site.startNodes()
  await sleep(3_000)

  const job = { spec: 'lookups', steps: [{ count: TASKS, cpu: TASK_CPU, mem_mb: 1_000, estimate_ms: TASK_MS, anti_affinity: 4 }] }
  const path = '/balance-check/00000000000000a3'
  if (!await site.submit(path, job)) throw new Error('the job was not accepted')
  await sleep(3_000)
  if (site.journal.starts.length !== TASKS) throw new Error(`${site.journal.starts.length} tasks have begun`)
  if (site.hasTrouble) {
    const minion = site.minions.find(({ running }) => running.size > 0)
    // A service that the configuration doesn't name; `version`, `slots`, `cold_remaining_ms` and `seq` are missing.
    const entry = { service: 'old-inventory', address: minion.address, zone: minion.options.zone, state: 'ready', born: Date.now(), capacity: minion.options.capacity, labels: ['a', minion.options.rack] }
    site.store.put('keyed.servers', 'inventory-7', entry)
    site.record(`another writer writes servers/inventory-7: ${JSON.stringify(entry)}; the address is that of ${minion.id}, which runs ${minion.running.size} tasks`)
  }
  const end = Date.now() + 2 * TASK_MS + 5_000
  while (Date.now() < end) {
    await sleep(1_000)
    const { body } = await site.call(site.nodes[0], 'GET', path)
    if (body.state === 'completed' || body.state === 'failed') break
  }
  return site.journal.twice()
})
