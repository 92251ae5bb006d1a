/**
 * The demo: three availability zones on loopback, real traffic, and operators at work.
 * `--keep` leaves everything running for trying by hand.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import { DemoFleet } from './demo-fleet.js'
import { DemoLayout } from './demo-layout.js'
import { DemoProcesses } from './demo-processes.js'
import { DemoReport } from './demo-report.js'
import { DemoTraffic } from './demo-traffic.js'

/** The example deployment, from the compiled script's place. */
const DEPLOYMENT = fileURLToPath(new URL('../../examples/lone-star.toml', import.meta.url))

/** Time that work may still start in a zone after it was taken out, in milliseconds: "a few seconds". */
const ZONE_GRACE_MILLISECONDS = 3_000

/** Callers of each team at once. */
const WORKERS = 6

async function grantKey (fleet: DemoFleet, team: string): Promise<{ id: string, key: string }> {
  const { answer } = await fleet.change('POST', '/keys', { team })
  return { id: String(answer['id']), key: String(answer['key']) }
}

async function withdrawKey (fleet: DemoFleet, layout: DemoLayout, report: DemoReport): Promise<void> {
  const { id, key } = await grantKey(fleet, 'panhandle-freight')
  const statusOf = async (port: number): Promise<number> => {
    const { statusCode, body } = await request(`http://127.0.0.1:${port}/queues/balances/check`, { headers: { authorization: `Bearer ${key}` } })
    await body.dump()
    return statusCode
  }
  for (const zone of layout.sites) report.demand(await statusOf(zone.callers) === 200, `a granted key didn't open zone ${zone.name}`)
  const { milliseconds } = await fleet.change('DELETE', `/keys/${id}`)
  report.note(`key withdrawn everywhere after ${milliseconds} ms`)
  for (const zone of layout.sites) report.demand(await statusOf(zone.callers) === 401, `a withdrawn key still opens zone ${zone.name}`)
}

async function switchPreset (fleet: DemoFleet, report: DemoReport): Promise<void> {
  const startedAt = Date.now()
  const { milliseconds } = await fleet.change('POST', '/presets/period-close/activate')
  report.note(`preset period-close in force everywhere after ${milliseconds} ms`)
  await fleet.until(async () => (await fleet.read('/pools/payroll-posting'))['serving'] === 4, 'payroll-posting has its size')
  report.note(`its two moves done after ${Date.now() - startedAt} ms`)
}

async function moveMachine (fleet: DemoFleet, report: DemoReport): Promise<void> {
  const startedAt = Date.now()
  const { milliseconds } = await fleet.change('POST', '/vms/vm-02/move', { toPool: 'help-desk' })
  report.note(`move of vm-02 in force everywhere after ${milliseconds} ms`)
  await fleet.until(async () => (await fleet.read('/vms/vm-02'))['phase'] === 'serving', 'vm-02 serves again')
  report.note(`vm-02 moved after ${Date.now() - startedAt} ms`)
}

async function takeZoneOutAndBack (fleet: DemoFleet, report: DemoReport): Promise<void> {
  const { milliseconds } = await fleet.change('POST', '/availability-zones/b/out')
  const outAt = Date.now()
  report.note(`zone b out everywhere after ${milliseconds} ms`)
  await delay(ZONE_GRACE_MILLISECONDS + 1_500)
  const backAt = Date.now()
  const back = await fleet.change('POST', '/availability-zones/b/back')
  report.note(`zone b back everywhere after ${back.milliseconds} ms`)
  for (const machine of fleet.machines.filter(({ availabilityZone }) => availabilityZone === 'b')) {
    const { ledger } = await fleet.ledger(machine)
    const late = ledger.filter(({ startedAt }) => startedAt > outAt + ZONE_GRACE_MILLISECONDS && startedAt < backAt)
    report.demand(late.length === 0, `${late.length} requests started on ${machine.id} in a zone that was out`)
  }
}

async function restartEntry (fleet: DemoFleet, layout: DemoLayout, processes: DemoProcesses, traffic: DemoTraffic, report: DemoReport): Promise<void> {
  const [first, ...others] = layout.sites
  if (!first) return
  // The balancer takes it out of its list when /readyz fails; the callers here are told.
  const stopping = processes.stop(`entry-${first.name}`)
  await delay(200)
  traffic.use(others.map(site => site.callers))
  report.demand(await stopping === 0, 'the entry daemon didn\'t stop cleanly')
  report.note(`entry-${first.name} stopped under load`)
}

async function main (): Promise<number> {
  const layout = new DemoLayout()
  const processes = new DemoProcesses()
  const fleet = new DemoFleet(layout, processes, DEPLOYMENT)
  const report = new DemoReport()
  try {
    console.log('starting the platform, 14 endpoints, 3 entry and 3 control daemons')
    await fleet.start()
    await fleet.publish()
    await fleet.change('POST', '/presets/ordinary/activate')
    if (process.argv.includes('--keep')) return await keep(fleet, layout)
    const callers = [
      { team: 'austin-schools', ...await grantKey(fleet, 'austin-schools') },
      { team: 'gulf-clinics', ...await grantKey(fleet, 'gulf-clinics') }
    ]
    const traffic = new DemoTraffic(layout.sites.map(site => site.callers))
    const running = traffic.run(callers, WORKERS)
    await withdrawKey(fleet, layout, report)
    await switchPreset(fleet, report)
    await moveMachine(fleet, report)
    await takeZoneOutAndBack(fleet, report)
    await restartEntry(fleet, layout, processes, traffic, report)
    traffic.stop()
    await running
    await report.judge(traffic, fleet)
    return report.print() ? 0 : 1
  } finally {
    await processes.stopAll()
  }
}

async function keep (fleet: DemoFleet, layout: DemoLayout): Promise<number> {
  const { key } = await grantKey(fleet, 'austin-schools')
  const [site] = layout.sites
  console.log('running until interrupted (Ctrl-C); try:')
  console.log(`  curl -i -H 'Authorization: Bearer ${key}' http://127.0.0.1:${site?.callers}/queues/balances/check`)
  console.log(`  export SAMPHIREGLADE_TOKEN=${layout.token}`)
  console.log(`  node dist/src/main/samphireglade.js --server http://127.0.0.1:${site?.administration} state`)
  await new Promise<void>(resolve => process.once('SIGINT', () => resolve()))
  return 0
}

process.exitCode = await main()
