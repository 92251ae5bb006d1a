/**
 * Runs the demo: three availability zones on loopback, with traffic from callers and changes by an operator.
 * `--keep` keeps the fleet running without traffic, for manual tests.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import { DemoFleet } from './demo-fleet.js'
import { DemoLayout } from './demo-layout.js'
import { DemoProcesses } from './demo-processes.js'
import { DemoReport } from './demo-report.js'
import { DemoTraffic } from './demo-traffic.js'

/** Path of the example deployment file, relative to the compiled script. */
const DEPLOYMENT_PATH = fileURLToPath(new URL('../../examples/lone-star.toml', import.meta.url))

/** Time after which no request may start in a zone that was taken out of service; the target says "a few seconds". */
const ZONE_OUT_GRACE_PERIOD_MILLISECONDS = 3_000

/** Maximum number of requests in flight from each caller. */
const CONCURRENCY_PER_CALLER = 6

async function grantKey (fleet: DemoFleet, team: string): Promise<{ id: string, key: string }> {
  const { response } = await fleet.change('POST', '/keys', { team })
  return { id: String(response['id']), key: String(response['key']) }
}

async function checkKeyWithdrawal (fleet: DemoFleet, layout: DemoLayout, report: DemoReport): Promise<void> {
  const { id, key } = await grantKey(fleet, 'panhandle-freight')
  const statusOf = async (port: number): Promise<number> => {
    const { statusCode, body } = await request(`http://127.0.0.1:${port}/queues/balances/check`, { headers: { authorization: `Bearer ${key}` } })
    await body.dump()
    return statusCode
  }
  for (const entryVirtualMachine of layout.entryVirtualMachines) report.check(await statusOf(entryVirtualMachine.callerPort) === 200, `a granted key was rejected in zone ${entryVirtualMachine.name}`)
  const { milliseconds } = await fleet.change('DELETE', `/keys/${id}`)
  report.addLine(`key withdrawn everywhere after ${milliseconds} ms`)
  for (const entryVirtualMachine of layout.entryVirtualMachines) report.check(await statusOf(entryVirtualMachine.callerPort) === 401, `a withdrawn key was still accepted in zone ${entryVirtualMachine.name}`)
}

async function checkPresetSwitch (fleet: DemoFleet, report: DemoReport): Promise<void> {
  const startedAt = Date.now()
  const { milliseconds } = await fleet.change('POST', '/presets/period-close/activate')
  report.addLine(`preset period-close in force everywhere after ${milliseconds} ms`)
  await fleet.until(async () => (await fleet.read('/pools/payroll-posting'))['serving'] === 4, 'payroll-posting has its preset size')
  report.addLine(`its two moves done after ${Date.now() - startedAt} ms`)
}

async function checkVirtualMachineMove (fleet: DemoFleet, report: DemoReport): Promise<void> {
  const startedAt = Date.now()
  const { milliseconds } = await fleet.change('POST', '/vms/vm-02/move', { toPool: 'help-desk' })
  report.addLine(`move of vm-02 in force everywhere after ${milliseconds} ms`)
  await fleet.until(async () => (await fleet.read('/vms/vm-02'))['phase'] === 'serving', 'vm-02 serving')
  report.addLine(`vm-02 moved after ${Date.now() - startedAt} ms`)
}

async function checkZoneOutAndBack (fleet: DemoFleet, report: DemoReport): Promise<void> {
  const { milliseconds } = await fleet.change('POST', '/availability-zones/b/out')
  const outAt = Date.now()
  report.addLine(`zone b out everywhere after ${milliseconds} ms`)
  await delay(ZONE_OUT_GRACE_PERIOD_MILLISECONDS + 1_500)
  const backAt = Date.now()
  const returned = await fleet.change('POST', '/availability-zones/b/back')
  report.addLine(`zone b back everywhere after ${returned.milliseconds} ms`)
  for (const virtualMachine of fleet.virtualMachines.filter(({ availabilityZone }) => availabilityZone === 'b')) {
    const { ledger } = await fleet.readLedger(virtualMachine)
    const lateStarts = ledger.filter(({ startedAt }) => startedAt > outAt + ZONE_OUT_GRACE_PERIOD_MILLISECONDS && startedAt < backAt)
    report.check(lateStarts.length === 0, `${lateStarts.length} requests started on ${virtualMachine.id} while its zone was out of service`)
  }
}

async function checkEntryShutdown (fleet: DemoFleet, layout: DemoLayout, processes: DemoProcesses, traffic: DemoTraffic, report: DemoReport): Promise<void> {
  const [first, ...others] = layout.entryVirtualMachines
  if (!first) return
  // A load balancer removes the daemon when /readyz fails; here the callers' ports are set directly.
  const stopping = processes.stop(`entry-${first.name}`)
  await delay(200)
  traffic.setPorts(others.map(entryVirtualMachine => entryVirtualMachine.callerPort))
  report.check(await stopping === 0, 'the entry daemon didn\'t shut down gracefully')
  report.addLine(`entry-${first.name} stopped under load`)
}

async function main (): Promise<number> {
  const layout = new DemoLayout()
  const processes = new DemoProcesses()
  const fleet = new DemoFleet(layout, processes, DEPLOYMENT_PATH)
  const report = new DemoReport()
  try {
    console.log('starting the platform, 14 endpoints, 3 entry and 3 control daemons')
    await fleet.start()
    await fleet.applyDeployment()
    await fleet.change('POST', '/presets/ordinary/activate')
    if (process.argv.includes('--keep')) return await keepRunning(fleet, layout)
    const callers = [
      { team: 'austin-schools', ...await grantKey(fleet, 'austin-schools') },
      { team: 'gulf-clinics', ...await grantKey(fleet, 'gulf-clinics') }
    ]
    const traffic = new DemoTraffic(layout.entryVirtualMachines.map(entryVirtualMachine => entryVirtualMachine.callerPort))
    const trafficRun = traffic.run(callers, CONCURRENCY_PER_CALLER)
    await checkKeyWithdrawal(fleet, layout, report)
    await checkPresetSwitch(fleet, report)
    await checkVirtualMachineMove(fleet, report)
    await checkZoneOutAndBack(fleet, report)
    await checkEntryShutdown(fleet, layout, processes, traffic, report)
    traffic.stop()
    await trafficRun
    await report.evaluate(traffic, fleet)
    return report.print() ? 0 : 1
  } finally {
    await processes.stopAll()
  }
}

async function keepRunning (fleet: DemoFleet, layout: DemoLayout): Promise<number> {
  const { key } = await grantKey(fleet, 'austin-schools')
  const [firstEntryVirtualMachine] = layout.entryVirtualMachines
  console.log('running until interrupted (Ctrl-C); try:')
  console.log(`  curl -i -H 'Authorization: Bearer ${key}' http://127.0.0.1:${firstEntryVirtualMachine?.callerPort}/queues/balances/check`)
  console.log(`  export SAMPHIREGLADE_TOKEN=${layout.operatorToken}`)
  console.log(`  node dist/src/main/samphireglade.js --server http://127.0.0.1:${firstEntryVirtualMachine?.administrationPort} state`)
  await new Promise<void>(resolve => process.once('SIGINT', () => resolve()))
  return 0
}

process.exitCode = await main()
