/**
 * A minion with more unseen ends than one response holds: tasks that are done are started again.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase, sleep } from '../stand-ins/site.mjs'

const TASKS = 1_200
const TASK_CPU = 50
const TASK_MS = 3_000

/** The cut begins before the first task can end, and ends before the lease of 5 s can run out. */
const CUT_AFTER_MS = 2_500
const CUT_MS = 3_500

await runCase(dirname(fileURLToPath(import.meta.url)), async site => {
  site.configure([{ name: 'balance-check', path_prefix: '/balance-check/' }])
  const outcome = () => ({ ms: TASK_MS, how: 'done', cpu: TASK_CPU })
  for (let index = 0; index < 6; index++) await site.addMinion({ id: `minion-${index}`, rack: `r${Math.floor(index / 4)}`, outcome })
  await site.startNodes()
  await sleep(3_000)

  const job = { spec: 'many small lookups', steps: [{ count: TASKS, cpu: TASK_CPU, mem_mb: 100, estimate_ms: TASK_MS }] }
  const path = '/balance-check/00000000000000a1'
  if (!await site.submit(path, job)) throw new Error('the job was not accepted')
  const deadline = Date.now() + 10_000
  while (site.journal.starts.length === 0 && Date.now() < deadline) await sleep(10)
  await sleep(CUT_AFTER_MS)
  const [busiest] = [...site.minions].sort((left, right) => right.running.size - left.running.size)
  site.record(`minion ${busiest.id} runs ${busiest.running.size} tasks`)
  if (busiest.running.size <= 500) throw new Error(`the busiest minion runs only ${busiest.running.size} tasks`)
  if (site.hasTrouble) {
    site.record(`minion ${busiest.id} is cut off for ${CUT_MS} ms and runs on`)
    busiest.cut()
    await sleep(CUT_MS)
    busiest.heal()
    site.record(`minion ${busiest.id} can be reached again`)
  }
  const end = Date.now() + 25_000
  while (Date.now() < end) {
    await sleep(1_000)
    const { body } = await site.call(site.nodes[0], 'GET', path)
    if (body.state === 'completed') break
  }
  await sleep(2_000)
  return site.journal.twice()
})
