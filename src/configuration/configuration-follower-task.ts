/**
 * Keeps the operators' configuration, zones taken out and waves.
 */
import { FeedFollowerTask } from '../feeds/feed-follower-task.js'
import type { FeedChange } from '../feeds/feed-change.js'
import type { FleetConfiguration } from './fleet-configuration.js'
import type { JobQueue } from './job-queue.js'
import type { JobTeam } from './job-team.js'
import type { MaintenanceWave } from './maintenance-wave.js'
import type { OperatorChange } from './operator-change.js'
import { QueueIndex } from './queue-index.js'
import type { WorkerPool } from './worker-pool.js'

/** Changes in quick succession are read together after this pause, in milliseconds. */
const SPACING_MILLISECONDS = 50

/** A wave with the moment by which it has to be done. */
interface DatedWave extends MaintenanceWave {
  /** Epoch milliseconds, counted from when this process heard of it. */
  readonly deadline: number
}

/** Follows the operators' feed. The version in force never goes back. */
export class ConfigurationFollowerTask extends FeedFollowerTask<OperatorChange> {
  override readonly name = 'operators'
  private _configuration: FleetConfiguration | null = null
  private _index: QueueIndex | null = null
  private readonly _queues = new Map<string, JobQueue>()
  private readonly _pools = new Map<string, WorkerPool>()
  private readonly _teams = new Map<string, JobTeam>()
  private readonly _keys = new Map<string, JobTeam>()
  private readonly _zonesOut = new Set<string>()
  private readonly _waves = new Map<number, DatedWave>()

  /** Version in force; 0 before the first. */
  get version (): number {
    return this._configuration?.version ?? 0
  }

  /** The configuration in force, or null before the first. */
  get configuration (): FleetConfiguration | null {
    return this._configuration
  }

  /** Waves asked for. */
  get waves (): readonly DatedWave[] {
    return [...this._waves.values()]
  }

  /** The queue that a request addresses, or null. */
  route (host: string, path: string): JobQueue | null {
    return this._index?.find(host, path) ?? null
  }

  /** A queue by name, or null. */
  queue (name: string): JobQueue | null {
    return this._queues.get(name) ?? null
  }

  /** A pool by name, or null. */
  pool (name: string): WorkerPool | null {
    return this._pools.get(name) ?? null
  }

  /** A team by name, or null. */
  team (name: string): JobTeam | null {
    return this._teams.get(name) ?? null
  }

  /** The team that holds a key, or null. */
  teamOfKey (key: string): JobTeam | null {
    return this._keys.get(key) ?? null
  }

  /** Whether operators have taken a zone out. */
  isZoneOut (availabilityZone: string): boolean {
    return this._zonesOut.has(availabilityZone)
  }

  protected override reload (changes: ReadonlyArray<FeedChange<OperatorChange>>): void {
    this._zonesOut.clear()
    for (const change of changes) this.apply(change)
  }

  protected override apply ({ value, offset }: FeedChange<OperatorChange>): void {
    switch (value.kind) {
      case 'configuration': return this._configure(value.configuration)
      case 'zone':
        if (value.isOut) this._zonesOut.add(value.availabilityZone)
        else this._zonesOut.delete(value.availabilityZone)
        this.log.emit('zone set', { availabilityZone: value.availabilityZone, isOut: value.isOut, offset })
        return
      case 'wave':
        if (this._waves.has(value.wave.wave)) return
        this._waves.set(value.wave.wave, { ...value.wave, deadline: this.clock.now() + value.wave.durationMilliseconds })
        this.log.emit('wave asked for', { wave: value.wave.wave, virtualMachines: value.wave.virtualMachines.length, maximumAtOnce: value.wave.maximumAtOnce, durationMilliseconds: value.wave.durationMilliseconds, offset })
        return
      case 'unknown':
        this.log.emit('operator record left out', { key: value.key, cause: value.cause, offset })
    }
  }

  protected override minimumReadIntervalMilliseconds (): number {
    return SPACING_MILLISECONDS
  }

  private _configure (configuration: FleetConfiguration): void {
    if (configuration.version <= this.version) return
    this._configuration = configuration
    this._index = new QueueIndex(configuration)
    this._replace(this._queues, configuration.queues.map(queue => [queue.name, queue]))
    this._replace(this._pools, configuration.pools.map(pool => [pool.name, pool]))
    this._replace(this._teams, configuration.teams.map(team => [team.name, team]))
    this._replace(this._keys, configuration.teams.flatMap(team => team.keys.map((key): [string, JobTeam] => [key, team])))
    this.metrics.setGauge('configuration.version.level', configuration.version)
    this.log.emit('configuration in force', { version: configuration.version, queues: configuration.queues.length, teams: configuration.teams.length })
  }

  private _replace<T> (map: Map<string, T>, entries: ReadonlyArray<[string, T]>): void {
    map.clear()
    for (const [key, value] of entries) map.set(key, value)
  }
}
