/**
 * Benchmark of maintenance waves and preset switches: duration, absence and moves.
 */
import type { Command } from '../src/schemas/command.js'
import { Pool } from '../src/schemas/pool.js'
import { Queue } from '../src/schemas/queue.js'
import { ControlFleet } from '../tests/support/control-fleet.js'
import { Benchmark } from './benchmark.js'
import type { ResultRow } from './result-row.js'

/** Simulated duration of a reboot. */
const REBOOT_MILLISECONDS = 60_000

/** Fraction of a pool that its availability budget allows out of service at once. */
const MAXIMUM_ABSENT_FRACTION = 0.1

/** Size of a simulated fleet. */
interface FleetSize {
  readonly pools: number
  readonly virtualMachinesPerPool: number
}

/** Today's fleet size and the target size. */
const SIZES: readonly FleetSize[] = [{ pools: 5, virtualMachinesPerPool: 7 }, { pools: 32, virtualMachinesPerPool: 216 }]

/** Runs whole waves and a preset switch with the system's own tasks in simulated time. */
export class RolloutBenchmark extends Benchmark {
  override readonly name = 'rollout'
  override readonly summary = 'maintenance time of all VMs relative to its lower bound (VMs ÷ budget × step); naive: one pool after another, in batches'

  override async run (): Promise<ResultRow[]> {
    const rows: ResultRow[] = []
    for (const size of SIZES) rows.push(...await this._runWave(size))
    rows.push(...await this._switchPreset())
    return rows
  }

  private _maximumAbsent ({ virtualMachinesPerPool }: FleetSize): number {
    return Math.max(1, Math.floor(virtualMachinesPerPool * MAXIMUM_ABSENT_FRACTION))
  }

  private _configurationCommands (size: FleetSize): Command[] {
    const commands: Command[] = []
    for (let pool = 0; pool < size.pools; pool++) {
      const value = Pool.parse({ name: `pool-${pool}`, minimumServing: size.virtualMachinesPerPool - this._maximumAbsent(size), slowStartMilliseconds: 0 })
      commands.push({ kind: 'put-pool', value, expectedVersion: 0 })
    }
    for (let index = 0; index < size.pools * size.virtualMachinesPerPool; index++) {
      const id = `vm-${index}`
      const address = { host: `10.0.0.${1 + (index >> 14)}`, port: 1_024 + (index & 16_383) }
      commands.push({ kind: 'put-virtual-machine', value: { id, pool: `pool-${index % size.pools}`, availabilityZone: 'abcdefg'[index % 7] ?? 'a', rack: `rack-${index >> 2}`, address }, expectedVersion: 0 })
    }
    commands.push({ kind: 'put-queue', value: Queue.parse({ name: 'work', pool: 'pool-0', defaultTimeoutMilliseconds: 1_000, maximumTimeoutMilliseconds: 2_000 }), expectedVersion: 0 })
    return commands
  }

  private async _runWave (size: FleetSize): Promise<ResultRow[]> {
    const fleet = new ControlFleet()
    await fleet.start(this._configurationCommands(size))
    fleet.platform.rebootMilliseconds = REBOOT_MILLISECONDS
    const total = size.pools * size.virtualMachinesPerPool
    const maximumAbsent = this._maximumAbsent(size)
    const startedAt = fleet.clock.now()
    let absenceSeconds = 0
    let excess = 0
    await fleet.change({ kind: 'start-wave', name: 'all', order: [...fleet.state.virtualMachines.keys()], maximumAtOnce: total })
    while (fleet.state.waves.get('all')?.phase !== 'finished') {
      await fleet.clock.advance(1_000)
      const absentByPool = new Map<string, number>()
      for (const virtualMachine of fleet.state.virtualMachines.values()) {
        if (virtualMachine.phase !== 'serving') absentByPool.set(virtualMachine.value.pool, (absentByPool.get(virtualMachine.value.pool) ?? 0) + 1)
      }
      for (const count of absentByPool.values()) {
        absenceSeconds += count
        excess = Math.max(excess, count - maximumAbsent)
      }
    }
    const seconds = (fleet.clock.now() - startedAt) / 1_000
    const rounds = Math.ceil(size.virtualMachinesPerPool / maximumAbsent)
    const lowerBoundSeconds = rounds * REBOOT_MILLISECONDS / 1_000
    const label = `${total} VMs, ${size.pools} pools`
    return [
      { figure: `${label}: roll-out time over its lower bound`, value: seconds / lowerBoundSeconds, naive: size.pools, target: '1' },
      { figure: `${label}: buffer cost, absence over reboot time`, value: absenceSeconds * 1_000 / total / REBOOT_MILLISECONDS, naive: 1, target: '1' },
      { figure: `${label}: VMs out beyond a budget, worst`, value: excess, naive: 0, target: '0' }
    ]
  }

  /** Switches to a preset with one more VM in two pools and two fewer in the spare pool; naive: reassigns all VMs in the order of their IDs. */
  private async _switchPreset (): Promise<ResultRow[]> {
    const fleet = new ControlFleet()
    const size = { pools: 5, virtualMachinesPerPool: 7 }
    await fleet.start(this._configurationCommands(size).map(command => command.kind === 'put-pool' && command.value.name === 'pool-4' ? { ...command, value: { ...command.value, isSpare: true, minimumServing: 0 } } : command))
    const targetSizes = [8, 8, 7, 7, 5]
    await fleet.change({ kind: 'put-preset', value: { name: 'peak', pools: targetSizes.map((count, pool) => ({ pool: `pool-${pool}`, size: count })), teams: [] }, expectedVersion: 0 })
    const poolsBefore = new Map([...fleet.state.virtualMachines].map(([id, virtualMachine]) => [id, virtualMachine.value.pool]))
    const startedAt = fleet.clock.now()
    fleet.platform.rebootMilliseconds = REBOOT_MILLISECONDS
    await fleet.change({ kind: 'activate-preset', preset: 'peak', expectedVersion: 0 })
    await fleet.waitUntil(() => targetSizes.every((count, pool) => fleet.state.servingVirtualMachines(`pool-${pool}`).length === count), 'preset sizes')
    const seconds = (fleet.clock.now() - startedAt) / 1_000
    const moves = [...fleet.state.virtualMachines].filter(([id, virtualMachine]) => poolsBefore.get(id) !== virtualMachine.value.pool).length
    const naivePools = targetSizes.flatMap((count, pool) => Array.from({ length: count }, () => `pool-${pool}`))
    const naiveMoves = [...poolsBefore.values()].filter((pool, index) => pool !== naivePools[index]).length
    return [
      { figure: 'preset switch: moves over the fewest possible', value: moves / 2, naive: naiveMoves / 2, target: '1' },
      { figure: 'preset switch: time over one reboot', value: seconds * 1_000 / REBOOT_MILLISECONDS, naive: null, target: '1' }
    ]
  }
}
