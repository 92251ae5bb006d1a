/**
 * Benchmark of the resident memory and processor time of the daemons.
 */
import { readFileSync } from 'node:fs'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { DemoFleet } from '../demo/demo-fleet.js'
import { DemoLayout } from '../demo/demo-layout.js'
import { DemoProcesses } from '../demo/demo-processes.js'
import { Benchmark } from './benchmark.js'
import { DEPLOYMENT_PATH } from './deployment-path.js'
import type { ResultRow } from './result-row.js'

/** Number of VMs added to the example fleet for the second measurement. */
const ADDED_VIRTUAL_MACHINES = 6_900

/** Number of VMs added with one append to the log. */
const VIRTUAL_MACHINES_PER_APPEND = 300

/** Length of the measurement of each daemon, and of the pause before the first one. */
const MEASUREMENT_MILLISECONDS = 10_000

/** Clock ticks per second, the unit of the processor times in `/proc`. */
const TICKS_PER_SECOND = 100

/** Measures an idle entry daemon and an idle control daemon with the example fleet and with a fleet of the target size. */
export class MemoryBenchmark extends Benchmark {
  override readonly name = 'memory'
  override readonly summary = 'resident memory and processor time of idle daemons; naive: a bare Node process'

  override async run (): Promise<ResultRow[]> {
    const layout = new DemoLayout(['a'])
    const processes = new DemoProcesses()
    const fleet = new DemoFleet(layout, processes, DEPLOYMENT_PATH)
    try {
      await fleet.start()
      await fleet.applyDeployment()
      const bare = processes.start('bare', 'benchmarks/bare-process.js', [])
      const exampleRows = await this._measure(processes, bare.pid ?? 0, 'example fleet')
      await this._addVirtualMachines(layout.platformPort)
      await fleet.until(async () => Object.keys(await fleet.read('/vms/added-0')).length > 0, 'VMs added')
      const targetSizeRows = await this._measure(processes, bare.pid ?? 0, `${ADDED_VIRTUAL_MACHINES} VMs more`)
      return [...exampleRows, ...targetSizeRows]
    } finally {
      await processes.stopAll()
    }
  }

  private async _measure (processes: DemoProcesses, barePid: number, label: string): Promise<ResultRow[]> {
    await delay(MEASUREMENT_MILLISECONDS)
    const rows: ResultRow[] = []
    for (const name of ['entry-a', 'control-a']) {
      const pid = processes.pid(name)
      const ticksBefore = this._processorTicks(pid)
      await delay(MEASUREMENT_MILLISECONDS)
      const processorPercentage = 100 * (this._processorTicks(pid) - ticksBefore) / TICKS_PER_SECOND / (MEASUREMENT_MILLISECONDS / 1_000)
      rows.push(
        { figure: `${label}: ${name}, resident memory (MB)`, value: this._residentMegabytes(pid), naive: this._residentMegabytes(barePid), target: '64 MB' },
        { figure: `${label}: ${name}, processor (% of a core)`, value: processorPercentage, naive: null, target: '1%' }
      )
    }
    return rows
  }

  private async _addVirtualMachines (platformPort: number): Promise<void> {
    for (let start = 0; start < ADDED_VIRTUAL_MACHINES; start += VIRTUAL_MACHINES_PER_APPEND) {
      const records = Array.from({ length: VIRTUAL_MACHINES_PER_APPEND }, (_, offset) => {
        const index = start + offset
        const address = { host: `127.1.${index >> 8}.${1 + (index & 127)}`, port: 1_024 + (index & 255) }
        const value = { id: `added-${index}`, pool: 'balances', availabilityZone: 'abc'[index % 3] ?? 'a', rack: `rack-${index >> 2}`, address }
        return { id: `added-${index}`, author: { member: 'operator', incarnation: '1' }, time: Date.now(), body: { kind: 'put-virtual-machine', value, expectedVersion: 0 } }
      })
      const { body } = await request(`http://127.0.0.1:${platformPort}/log/records`, { method: 'POST', body: JSON.stringify({ records }) })
      await body.dump()
    }
  }

  /** Resident memory of a process, in megabytes. */
  private _residentMegabytes (pid: number): number {
    const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
    return Number(match?.[1]) / 1_000
  }

  /** User and system time of a process so far, in clock ticks. */
  private _processorTicks (pid: number): number {
    const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
    return Number(fields[11]) + Number(fields[12])
  }
}
