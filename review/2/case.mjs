/**
 * A minion with more unseen ends than one response holds: tasks that are done are started again.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase, sleep } from '../stand-ins/site.mjs'

const TASKS = 2_000
const TASK_CPU = 30
const TASK_MB = 60
const TASK_MS = 10_000

/** The cut begins just before the first task ends, and is over before the lease of 5 s can run out. */
const CUT_BEFORE_END_MS = 300
const CUT_MS = 3_500

await runCase(dirname(fileURLToPath(import.meta.url)), async site => {
  site.configure([{ name: 'balance-check', path_prefix: '/balance-check/' }])
  const outcome = () => ({ ms: TASK_MS, how: 'done', cpu: TASK_CPU })
  for (let index = 0; index < 6; index++) await site.addMinion({ id: `minion-${index}`, rack: `r${Math.floor(index / 4)}`, label: index === 5 ? 'b' : 'a', outcome })
  const minion = site.minions[5]
  await site.startNodes()
  await sleep(3_000)

  // Only one minion is of the kind that the job needs, and has room for all of its tasks.
  const job = { spec: 'many small lookups', steps: [{ count: TASKS, cpu: TASK_CPU, mem_mb: TASK_MB, estimate_ms: TASK_MS, constraints: 'b' }] }
  const path = '/balance-check/00000000000000a1'
  if (!await site.submit(path, job)) throw new Error('the job was not accepted')
  const deadline = Date.now() + 10_000
  while (site.journal.starts.length === 0 && Date.now() < deadline) await sleep(10)
  const cutAt = Date.now() + TASK_MS - CUT_BEFORE_END_MS
  while (Date.now() < cutAt) await sleep(10)
  site.record(`minion ${minion.id} runs ${minion.running.size} tasks`)
  if (minion.running.size < TASKS) throw new Error(`the minion runs only ${minion.running.size} tasks`)
  if (site.hasTrouble) {
    site.record(`minion ${minion.id} is cut off for ${CUT_MS} ms and runs on`)
    minion.cut()
    await sleep(CUT_MS)
    minion.heal()
    site.record(`minion ${minion.id} can be reached again`)
  }
  const end = Date.now() + 30_000
  while (Date.now() < end) {
    await sleep(1_000)
    const { body } = await site.call(site.nodes[0], 'GET', path)
    if (body.state === 'completed') break
  }
  await sleep(2_000)
  return site.journal.twice()
})
