/**
 * Benchmark of the time from an operator's change until it is in force everywhere.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { LoopbackFleet } from '../tests/support/loopback-fleet.js'
import { Benchmark } from './benchmark.js'
import { LatencyRecorder } from './latency-recorder.js'
import type { ResultRow } from './result-row.js'

/** Number of changes measured in each case. */
const CHANGES = 40

/** Number of entry processes: one for each entry VM of today's fleet. */
const ENTRY_PROCESSES = 8

/** Checks the state of each process directly, with entry VMs that can reach the platform and with entry VMs that can't. */
export class InForceBenchmark extends Benchmark {
  override readonly name = 'in-force'
  override readonly summary = 'time until a change is in force on 8 entry VMs, until a new VM is up to date, and until a change is in force after an outage of the log'

  override async run (): Promise<ResultRow[]> {
    return [...await this._measure(false), ...await this._measure(true)]
  }

  private async _measure (isPlatformUnreachable: boolean): Promise<ResultRow[]> {
    const fleet = new LoopbackFleet()
    await fleet.start()
    await fleet.addProcess('control', 'a')
    // Nothing listens at this port, so entry processes reach the log only through the control process.
    const options = isPlatformUnreachable ? { platformPort: 1 } : {}
    for (let index = 0; index < ENTRY_PROCESSES; index++) await fleet.addProcess('entry', 'abc'[index % 3] ?? 'a', { ...options, id: `entry-${index}` })
    await fleet.waitUntil(() => [...fleet.processes.values()].every(({ tree }) => tree.keeper.state.members.size === ENTRY_PROCESSES + 1), 'all joined')
    const label = isPlatformUnreachable ? 'log reached by one process' : 'log reached by all'
    const recorder = new LatencyRecorder()
    for (let index = 0; index < CHANGES; index++) await recorder.time(() => this._makeChange(fleet, index))
    const rows: ResultRow[] = [
      { figure: `${label}: in force everywhere, median (ms)`, value: recorder.percentile(50), naive: null, target: '20 s' },
      { figure: `${label}: in force everywhere, worst (ms)`, value: recorder.percentile(100), naive: null, target: '20 s' }
    ]
    if (!isPlatformUnreachable) rows.push(...await this._measureJoin(fleet), ...await this._measureRecovery(fleet))
    await fleet.close()
    return rows
  }

  /** Makes a change and waits until all processes have applied it. */
  private async _makeChange (fleet: LoopbackFleet, index: number): Promise<void> {
    const result = await fleet.client.call({ method: 'PUT', path: `/teams/team-${index}`, document: { share: 1, upperLimit: 1 } })
    if (result.isLeft()) throw result.extract()
    while (![...fleet.processes.values()].every(({ tree }) => tree.keeper.state.teams.has(`team-${index}`))) await delay(1)
  }

  private async _measureJoin (fleet: LoopbackFleet): Promise<ResultRow[]> {
    const recorder = new LatencyRecorder()
    await recorder.time(async () => {
      const member = await fleet.addProcess('entry', 'a', { id: 'entry-late' })
      while (member.tree.keeper.freshAt === 0) await delay(1)
    })
    return [{ figure: 'a new VM has the newest state (ms)', value: recorder.percentile(100), naive: null, target: '' }]
  }

  private async _measureRecovery (fleet: LoopbackFleet): Promise<ResultRow[]> {
    fleet.platform.faults = { ...fleet.platform.faults, isDown: true }
    await delay(5_000)
    fleet.platform.faults = { ...fleet.platform.faults, isDown: false }
    const recorder = new LatencyRecorder()
    await recorder.time(() => this._makeChange(fleet, CHANGES))
    return [{ figure: 'after 5 s without the log: a change in force everywhere (ms)', value: recorder.percentile(100), naive: null, target: '20 s' }]
  }
}
