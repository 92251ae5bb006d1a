/**
 * Roll-out time, buffer cost and moves.
 */
import type { Command } from '../src/schemas/command.js'
import { Pool } from '../src/schemas/pool.js'
import { Queue } from '../src/schemas/queue.js'
import { ControlFleet } from '../tests/support/control-fleet.js'
import { Benchmark } from './benchmark.js'
import type { ResultRow } from './result-row.js'

/** Time that a reboot takes, in milliseconds. */
const REBOOT_MILLISECONDS = 60_000

/** Part of a pool that its budget lets go at once. */
const OUT_PART = 0.1

/** A fleet to maintain. */
interface FleetSize {
  readonly pools: number
  readonly perPool: number
}

/** Today's size and the size aimed for. */
const SIZES: readonly FleetSize[] = [{ pools: 5, perPool: 7 }, { pools: 32, perPool: 216 }]

/** Whole waves and preset switches by the real tasks, in simulated time. */
export class RolloutBenchmark extends Benchmark {
  override readonly name = 'rollout'
  override readonly summary = 'maintenance of all VMs over its lower bound (VMs ÷ budget × step); naive: pool after pool, batch after batch'

  override async run (): Promise<ResultRow[]> {
    const rows: ResultRow[] = []
    for (const size of SIZES) rows.push(...await this._rollOut(size))
    rows.push(...await this._switchPreset())
    return rows
  }

  private _outAtOnce ({ perPool }: FleetSize): number {
    return Math.max(1, Math.floor(perPool * OUT_PART))
  }

  private _configuration (size: FleetSize): Command[] {
    const commands: Command[] = []
    for (let pool = 0; pool < size.pools; pool++) {
      const value = Pool.parse({ name: `pool-${pool}`, minimumServing: size.perPool - this._outAtOnce(size), slowStartMilliseconds: 0 })
      commands.push({ kind: 'put-pool', value, expectedVersion: 0 })
    }
    for (let index = 0; index < size.pools * size.perPool; index++) {
      const id = `vm-${index}`
      const address = { host: `10.0.0.${1 + (index >> 14)}`, port: 1_024 + (index & 16_383) }
      commands.push({ kind: 'put-virtual-machine', value: { id, pool: `pool-${index % size.pools}`, availabilityZone: 'abcdefg'[index % 7] ?? 'a', rack: `rack-${index >> 2}`, address }, expectedVersion: 0 })
    }
    commands.push({ kind: 'put-queue', value: Queue.parse({ name: 'work', pool: 'pool-0', defaultTimeoutMilliseconds: 1_000, maximumTimeoutMilliseconds: 2_000 }), expectedVersion: 0 })
    return commands
  }

  private async _rollOut (size: FleetSize): Promise<ResultRow[]> {
    const fleet = new ControlFleet()
    await fleet.start(this._configuration(size))
    fleet.platform.rebootMilliseconds = REBOOT_MILLISECONDS
    const total = size.pools * size.perPool
    const outAtOnce = this._outAtOnce(size)
    const startedAt = fleet.clock.now()
    let absence = 0
    let over = 0
    await fleet.change({ kind: 'start-wave', name: 'all', order: [...fleet.state.virtualMachines.keys()], maximumAtOnce: total })
    while (fleet.state.waves.get('all')?.phase !== 'finished') {
      await fleet.clock.advance(1_000)
      const out = new Map<string, number>()
      for (const machine of fleet.state.virtualMachines.values()) {
        if (machine.phase !== 'serving') out.set(machine.value.pool, (out.get(machine.value.pool) ?? 0) + 1)
      }
      for (const count of out.values()) {
        absence += count
        over = Math.max(over, count - outAtOnce)
      }
    }
    const seconds = (fleet.clock.now() - startedAt) / 1_000
    const rounds = Math.ceil(size.perPool / outAtOnce)
    const bound = rounds * REBOOT_MILLISECONDS / 1_000
    const label = `${total} VMs, ${size.pools} pools`
    return [
      { figure: `${label}: roll-out time over its lower bound`, value: seconds / bound, naive: size.pools, target: '1' },
      { figure: `${label}: buffer cost, absence over reboot time`, value: absence * 1_000 / total / REBOOT_MILLISECONDS, naive: 1, target: '1' },
      { figure: `${label}: VMs out beyond a budget, worst`, value: over, naive: 0, target: '0' }
    ]
  }

  /** Two services grow by one VM each at the cost of the spare pool; naive: every VM is dealt out anew in the order of ids. */
  private async _switchPreset (): Promise<ResultRow[]> {
    const fleet = new ControlFleet()
    const size = { pools: 5, perPool: 7 }
    await fleet.start(this._configuration(size).map(command => command.kind === 'put-pool' && command.value.name === 'pool-4' ? { ...command, value: { ...command.value, isSpare: true, minimumServing: 0 } } : command))
    const sizes = [8, 8, 7, 7, 5]
    await fleet.change({ kind: 'put-preset', value: { name: 'peak', pools: sizes.map((count, pool) => ({ pool: `pool-${pool}`, size: count })), teams: [] }, expectedVersion: 0 })
    const before = new Map([...fleet.state.virtualMachines].map(([id, machine]) => [id, machine.value.pool]))
    const startedAt = fleet.clock.now()
    fleet.platform.rebootMilliseconds = REBOOT_MILLISECONDS
    await fleet.change({ kind: 'activate-preset', preset: 'peak', expectedVersion: 0 })
    await fleet.until(() => sizes.every((count, pool) => fleet.state.servingVirtualMachines(`pool-${pool}`).length === count), 'sizes')
    const seconds = (fleet.clock.now() - startedAt) / 1_000
    const moves = [...fleet.state.virtualMachines].filter(([id, machine]) => before.get(id) !== machine.value.pool).length
    const dealt = sizes.flatMap((count, pool) => Array.from({ length: count }, () => `pool-${pool}`))
    const naive = [...before.values()].filter((pool, index) => pool !== dealt[index]).length
    return [
      { figure: 'preset switch: moves over the fewest possible', value: moves / 2, naive: naive / 2, target: '1' },
      { figure: 'preset switch: time over one reboot', value: seconds * 1_000 / REBOOT_MILLISECONDS, naive: null, target: '1' }
    ]
  }
}
