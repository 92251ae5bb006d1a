/**
 * A minion with more unseen ends than one response holds: tasks that are done are started again.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase, sleep } from '../stand-ins/site.mjs'

const TASKS = 1_500
const TASK_CPU = 20
const TASK_MB = 40

/** The second job follows when all tasks of the first one run. The tasks of both take so long at least, and up to some seconds more. */
const SECOND_AFTER_MS = 4_000
const TASK_MS = { first: 14_000, second: 10_000 }
const MORE_MS = 3_000
const EARLY_MS = 12_000
const WHOLE_CPU = 64_000

/** The cut begins just before the first task ends, and is over before the lease of 5 s can run out. */
const CUT_BEFORE_END_MS = 300
const CUT_MS = 3_500

await runCase(dirname(fileURLToPath(import.meta.url)), async site => {
  site.configure([{ name: 'balance-check', path_prefix: '/balance-check/' }])
  const [early, first, second] = ['00000000000000a0', '00000000000000a1', '00000000000000a2']
  const outcome = task => task.startsWith(early) ? { ms: EARLY_MS, how: 'done', cpu: WHOLE_CPU } : ({ ms: (task.startsWith(first) ? TASK_MS.first : TASK_MS.second) + MORE_MS * Number(task.split('.')[3]) / TASKS, how: 'done', cpu: TASK_CPU })
  for (let index = 0; index < 6; index++) await site.addMinion({ id: `minion-${index}`, rack: `r${Math.floor(index / 4)}`, label: index >= 4 ? 'b' : 'a', outcome })
  await site.startNodes()
  await sleep(3_000)

  // Two minions are of the kind that the jobs need. One is in use until shortly before the cut; the other one has room for all tasks.
  if (!await site.submit(`/balance-check/${early}`, { spec: 'one large task', steps: [{ count: 1, cpu: WHOLE_CPU, mem_mb: 1_000, estimate_ms: EARLY_MS, constraints: 'b' }] })) throw new Error('the early job was not accepted')
  await sleep(1_000)
  const minion = site.minions.slice(4).find(({ running }) => running.size === 0)
  const job = { spec: 'many small lookups', steps: [{ count: TASKS, cpu: TASK_CPU, mem_mb: TASK_MB, estimate_ms: TASK_MS.first, constraints: 'b' }] }
  const submittedAt = Date.now()
  if (!await site.submit(`/balance-check/${first}`, job)) throw new Error('the first job was not accepted')
  await sleep(submittedAt + SECOND_AFTER_MS - Date.now())
  if (!await site.submit(`/balance-check/${second}`, job)) throw new Error('the second job was not accepted')
  await sleep(submittedAt + TASK_MS.first - CUT_BEFORE_END_MS - Date.now())
  site.record(`minion ${minion.id} runs ${minion.running.size} tasks`)
  if (minion.running.size < 2 * TASKS) throw new Error(`the minion runs only ${minion.running.size} tasks`)
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
    const states = await Promise.all([first, second].map(id => site.call(site.nodes[0], 'GET', `/balance-check/${id}`)))
    if (states.every(({ body }) => body.state === 'completed')) break
  }
  await sleep(2_000)
  return site.journal.twice()
})
