/**
 * Resident memory and processor time of the daemons as processes.
 */
import { readFileSync } from 'node:fs'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { DemoFleet } from '../demo/demo-fleet.js'
import { DemoLayout } from '../demo/demo-layout.js'
import { DemoProcesses } from '../demo/demo-processes.js'
import { Benchmark } from './benchmark.js'
import { DEPLOYMENT } from './deployment-path.js'
import type { ResultRow } from './result-row.js'

/** VMs added to the state, on top of the example's. */
const ADDED = 6_900

/** VMs in one append. */
const BATCH = 300

/** How long an idle daemon is watched, in milliseconds. */
const WATCH_MILLISECONDS = 10_000

/** Clock ticks of the kernel's accounting in a second. */
const TICKS_PER_SECOND = 100

/** One entry and one control daemon, small and with the state of the fleet aimed for. */
export class MemoryBenchmark extends Benchmark {
  override readonly name = 'memory'
  override readonly summary = 'resident memory and processor time of idle daemons; naive: a bare Node process'

  override async run (): Promise<ResultRow[]> {
    const layout = new DemoLayout(['a'])
    const processes = new DemoProcesses()
    const fleet = new DemoFleet(layout, processes, DEPLOYMENT)
    try {
      await fleet.start()
      await fleet.publish()
      const bare = processes.start('bare', 'benchmarks/bare-process.js', [])
      const small = await this._measure(processes, bare.pid ?? 0, 'example fleet')
      await this._addMachines(layout.platformPort)
      await fleet.until(async () => Object.keys(await fleet.read('/vms/added-0')).length > 0, 'added')
      const large = await this._measure(processes, bare.pid ?? 0, `${ADDED} VMs more`)
      return [...small, ...large]
    } finally {
      await processes.stopAll()
    }
  }

  private async _measure (processes: DemoProcesses, bare: number, label: string): Promise<ResultRow[]> {
    await delay(WATCH_MILLISECONDS)
    const rows: ResultRow[] = []
    for (const name of ['entry-a', 'control-a']) {
      const pid = processes.pid(name)
      const before = this._ticks(pid)
      await delay(WATCH_MILLISECONDS)
      const percent = 100 * (this._ticks(pid) - before) / TICKS_PER_SECOND / (WATCH_MILLISECONDS / 1_000)
      rows.push(
        { figure: `${label}: ${name}, resident memory (MB)`, value: this._resident(pid), naive: this._resident(bare), target: '64 MB' },
        { figure: `${label}: ${name}, processor (% of a core)`, value: percent, naive: null, target: '1%' }
      )
    }
    return rows
  }

  private async _addMachines (platformPort: number): Promise<void> {
    for (let start = 0; start < ADDED; start += BATCH) {
      const records = Array.from({ length: BATCH }, (_, offset) => {
        const index = start + offset
        const address = { host: `127.1.${index >> 8}.${1 + (index & 127)}`, port: 1_024 + (index & 255) }
        const value = { id: `added-${index}`, pool: 'balances', availabilityZone: 'abc'[index % 3] ?? 'a', rack: `rack-${index >> 2}`, address }
        return { id: `added-${index}`, author: { member: 'operator', incarnation: '1' }, time: Date.now(), body: { kind: 'put-virtual-machine', value, expectedVersion: 0 } }
      })
      const { body } = await request(`http://127.0.0.1:${platformPort}/log/records`, { method: 'POST', body: JSON.stringify({ records }) })
      await body.dump()
    }
  }

  private _resident (pid: number): number {
    const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
    return Number(match?.[1]) / 1_000
  }

  /** User and system time so far, in clock ticks. */
  private _ticks (pid: number): number {
    const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
    return Number(fields[11]) + Number(fields[12])
  }
}
