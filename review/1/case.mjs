/**
 * Some dozens of long schedules are handed in, none of them due yet: each process that leads runs out of memory, one after the other, for good.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase, sleep } from '../stand-ins/site.mjs'

const TASK_CPU = 3_200
const TASK_MS = 1_000
const HOUR_MS = 3_600_000

/** Schedules: hourly for a month, with as many tasks as the widest job of the sheet has. */
const SCHEDULES = 40
const OCCURRENCES = 720
const WIDTH = 24

const TRAFFIC_MS = 25_000
const RESTART_DELAY_MS = 500

/** Bounds: `finish_s`, and how long a task's turn may come without a run. */
const FINISH_MS = 14_000
const BOUND_MS = 3_000

await runCase(dirname(fileURLToPath(import.meta.url)), async site => {
  site.configure([{ name: 'balance-check', path_prefix: '/balance-check/' }, { name: 'accrual-recon', path_prefix: '/accrual-recon/' }])
  const outcome = () => ({ ms: TASK_MS, how: 'done', cpu: TASK_CPU })
  for (let index = 0; index < 6; index++) await site.addMinion({ id: `minion-${index}`, rack: `r${Math.floor(index / 4)}`, outcome })
  await site.startNodes()
  await sleep(3_000)

  // The platform starts a process again that has ended.
  const ownEnds = []
  const restarts = setInterval(() => {
    for (const node of site.nodes) {
      if (node.child || node.isRestarting) continue
      node.isRestarting = true
      ownEnds.push(node.name)
      setTimeout(() => {
        site.startNode(node)
        node.isRestarting = false
      }, RESTART_DELAY_MS)
    }
  }, 50)
  try {
    const step = width => ({ count: width, cpu: TASK_CPU, mem_mb: 1_000, estimate_ms: TASK_MS })
    if (site.hasTrouble) {
      for (let index = 0; index < SCHEDULES; index++) {
        const schedule = { spec: 'hourly', repeat_count: OCCURRENCES, start_at_ms: Date.now() + HOUR_MS, interval_ms: HOUR_MS, steps: [step(WIDTH)] }
        await site.submit(`/accrual-recon/00000000000005${String(index).padStart(2, '0')}`, schedule)
      }
    }
    const accepted = []
    const attempts = []
    const endOfTraffic = Date.now() + TRAFFIC_MS
    while (Date.now() < endOfTraffic) {
      const id = `a0000000000000${String(attempts.length).padStart(2, '0')}`
      attempts.push(site.submit(`/balance-check/${id}`, { spec: 'check', steps: [step(2)] }).then(isAccepted => { if (isAccepted) accepted.push(id) }))
      await sleep(1_000)
    }
    await Promise.all(attempts)
    await sleep(FINISH_MS)
    const from = Date.now()
    await sleep(BOUND_MS)
    const isOver = id => site.journal.ends.filter(({ task, how }) => task.startsWith(id) && how === 'done').length === 2
    const hasRun = id => site.journal.starts.some(({ task, at }) => task.startsWith(id) && at >= from) || site.minions.some(({ running }) => [...running.values()].some(({ task }) => task.startsWith(id)))
    const lost = accepted.filter(id => !isOver(id) && !hasRun(id))
    const unanswered = []
    for (const id of accepted) {
      let status = 0
      for (let attempt = 0; attempt < 3 && (status === 0 || status === 503); attempt++) status = (await site.call(site.nodes[attempt], 'GET', `/balance-check/${id}`, undefined, { deadlineMs: 1_000, isSilent: true })).status
      if (status !== 200) unanswered.push(id)
      if (unanswered.length >= 3) break
    }
    site.record(`${accepted.length} of ${attempts.length} ordinary jobs accepted; processes ended by themselves ${ownEnds.length} times: ${site.nodes.map(({ name }) => `${name} ${ownEnds.filter(other => other === name).length}`).join(', ')}`)
    site.record(`free on the minions: ${site.minions.map(({ freeCpu }) => freeCpu).join(', ')}`)
    return [
      ...lost.map(id => `job ${id} was accepted and has nothing running for ${BOUND_MS} ms, ${FINISH_MS} ms after the end of the traffic, with all minions idle`),
      ...unanswered.map(id => `job ${id} was accepted and three processes give no answer about it in time`)
    ]
  } finally {
    clearInterval(restarts)
  }
})
