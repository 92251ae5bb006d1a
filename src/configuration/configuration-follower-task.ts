/**
 * The task that follows the operators' configuration, the availability zones that they take out of service and their maintenance waves.
 */
import { FeedFollowerTask } from '../feeds/feed-follower-task.js'
import type { FeedChange } from '../feeds/feed-change.js'
import type { JobSubmission } from '../jobs/job-submission.js'
import type { FleetConfiguration } from './fleet-configuration.js'
import type { JobQueue } from './job-queue.js'
import type { JobTeam } from './job-team.js'
import type { MaintenanceWave } from './maintenance-wave.js'
import type { OperatorChange } from './operator-change.js'
import { QueueIndex } from './queue-index.js'
import type { WorkerPool } from './worker-pool.js'

/** Minimum time between reads, in milliseconds, so that changes in quick succession are read together. */
const MINIMUM_READ_INTERVAL_MILLISECONDS = 50

/** A requested wave with its deadline. */
interface RequestedWave extends MaintenanceWave {
  /** Epoch milliseconds; the wave's duration is counted from when this process read the request. */
  readonly deadline: number
}

/** Follows the operators' feed. The configuration version in force never decreases. */
export class ConfigurationFollowerTask extends FeedFollowerTask<OperatorChange> {
  override readonly name = 'operators'
  private _configuration: FleetConfiguration | null = null
  private _queueIndex: QueueIndex | null = null
  private readonly _queues = new Map<string, JobQueue>()
  private readonly _pools = new Map<string, WorkerPool>()
  private readonly _teams = new Map<string, JobTeam>()
  private readonly _teamsByKey = new Map<string, JobTeam>()
  private readonly _zonesOutOfService = new Set<string>()
  private readonly _waves = new Map<number, RequestedWave>()

  /** Version of the configuration in force; 0 before the first. */
  get version (): number {
    return this._configuration?.version ?? 0
  }

  /** The configuration in force, or null before the first. */
  get configuration (): FleetConfiguration | null {
    return this._configuration
  }

  /** Requested maintenance waves. */
  get waves (): readonly RequestedWave[] {
    return [...this._waves.values()]
  }

  /** Returns the queue that serves a host and path, or null. */
  route (host: string, path: string): JobQueue | null {
    return this._queueIndex?.find(host, path) ?? null
  }

  /** Returns the queue of a job: as configured, also if it was removed since this process has started, or as it was when the job was accepted; null for neither. */
  queueOf ({ queue, queueAtSubmission }: Pick<JobSubmission, 'queue' | 'queueAtSubmission'>): JobQueue | null {
    return this._queues.get(queue) ?? queueAtSubmission ?? null
  }

  /** Returns a pool by name, or null. */
  pool (name: string): WorkerPool | null {
    return this._pools.get(name) ?? null
  }

  /** Returns a team by name, or null. */
  team (name: string): JobTeam | null {
    return this._teams.get(name) ?? null
  }

  /** Returns the team that owns a key, or null. */
  teamOfKey (key: string): JobTeam | null {
    return this._teamsByKey.get(key) ?? null
  }

  /** Whether operators have taken an availability zone out of service. */
  isZoneOut (availabilityZone: string): boolean {
    return this._zonesOutOfService.has(availabilityZone)
  }

  protected override reload (changes: ReadonlyArray<FeedChange<OperatorChange>>): void {
    this._zonesOutOfService.clear()
    for (const change of changes) this.applyOrSkip(change)
  }

  protected override apply ({ value, offset }: FeedChange<OperatorChange>): void {
    switch (value.kind) {
      case 'configuration': return this._applyConfiguration(value.configuration)
      case 'zone':
        if (value.isOut) this._zonesOutOfService.add(value.availabilityZone)
        else this._zonesOutOfService.delete(value.availabilityZone)
        this.log.emit('availability zone changed', { availabilityZone: value.availabilityZone, isOut: value.isOut, offset })
        return
      case 'wave':
        if (this._waves.has(value.wave.wave)) return
        this._waves.set(value.wave.wave, { ...value.wave, deadline: this.clock.now() + value.wave.durationMilliseconds })
        this.log.emit('maintenance wave requested', { wave: value.wave.wave, virtualMachines: value.wave.virtualMachines.length, maximumAtOnce: value.wave.maximumAtOnce, durationMilliseconds: value.wave.durationMilliseconds, offset })
        return
      case 'unknown':
        this.log.emit('operator record ignored', { key: value.key, cause: value.cause, offset })
    }
  }

  protected override minimumReadIntervalMilliseconds (): number {
    return MINIMUM_READ_INTERVAL_MILLISECONDS
  }

  private _applyConfiguration (configuration: FleetConfiguration): void {
    if (configuration.version <= this.version) return
    this._configuration = configuration
    this._queueIndex = new QueueIndex(configuration)
    // A queue that was removed takes no more jobs, but those that it has accepted still run.
    for (const queue of configuration.queues) this._queues.set(queue.name, queue)
    this._replaceEntries(this._pools, configuration.pools.map(pool => [pool.name, pool]))
    this._replaceEntries(this._teams, configuration.teams.map(team => [team.name, team]))
    this._replaceEntries(this._teamsByKey, configuration.teams.flatMap(team => team.keys.map((key): [string, JobTeam] => [key, team])))
    this.metrics.setGauge('configuration.version.level', configuration.version)
    this.log.emit('configuration in force', { version: configuration.version, queues: configuration.queues.length, teams: configuration.teams.length })
  }

  private _replaceEntries<T> (map: Map<string, T>, entries: ReadonlyArray<[string, T]>): void {
    map.clear()
    for (const [key, value] of entries) map.set(key, value)
  }
}
