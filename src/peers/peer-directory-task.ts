/**
 * Runs one task per peer that this process connects to.
 */
import type { Metrics } from '../observability/metrics.js'
import type { MemberStatus } from '../schemas/member-status.js'
import type { SocketAddress } from '../schemas/socket-address.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import type { Supervisor } from '../supervision/supervisor.js'
import { Task } from '../supervision/task.js'
import type { FleetSecret } from './fleet-secret.js'
import type { Membership } from './membership.js'
import type { PeerChannel } from './peer-channel.js'
import type { PeerMethods } from './peer-methods.js'
import { PeerTask } from './peer-task.js'
import { ringNeighbours } from './ring-neighbours.js'

/** Seeds from the settings to connect to besides the neighbours, until this process has joined and reaches another member. */
const MAXIMUM_SEED_CONNECTIONS = 3

/** Longest time between two updates of the connections, in milliseconds; a change of state triggers one at once. */
const RECONCILE_INTERVAL_MILLISECONDS = 2_000

/** The running task of a peer with the function that stops it. */
interface RunningPeer {
  readonly task: PeerTask
  readonly stop: () => Promise<void>
}

/** Connects to this member's neighbours on the rings as the member set changes, and to seeds while it isn't a member or reaches no other one. */
export class PeerDirectoryTask extends Task {
  override readonly name = 'peer-directory'
  private readonly _runningPeers = new Map<string, RunningPeer>()

  /**
   * @param _supervisor runs the peer tasks.
   * @param _seeds addresses of peers from the settings.
   */
  constructor (
    private readonly _supervisor: Supervisor,
    private readonly _seeds: readonly SocketAddress[],
    private readonly _secret: FleetSecret,
    private readonly _membership: Membership,
    private readonly _methods: PeerMethods,
    private readonly _keeper: StateKeeper,
    private readonly _clock: Clock,
    private readonly _random: RandomSource,
    private readonly _metrics: Metrics
  ) {
    super()
  }

  /** Open channels to peers, with each peer's status from its last response. */
  channels (): { status: MemberStatus | null, channel: PeerChannel }[] {
    return [...this._runningPeers.values()].flatMap(({ task }) => task.channel ? [{ status: task.status, channel: task.channel }] : [])
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this._reconcile()
      this._metrics.setGauge('peers.connected.level', this.channels().length)
      await this._keeper.changed.wait(this._clock, this._clock.now() + RECONCILE_INTERVAL_MILLISECONDS, signal)
    }
  }

  private _reconcile (): void {
    const desired = new Map(this._desiredAddresses().map(address => [`${address.host}:${address.port}`, address]))
    for (const [key, { stop }] of this._runningPeers) {
      if (desired.has(key)) continue
      this._runningPeers.delete(key)
      void stop()
    }
    for (const [key, address] of desired) if (!this._runningPeers.has(key)) this._startPeer(key, address)
  }

  private _desiredAddresses (): SocketAddress[] {
    const { self } = this._membership
    const members = [...this._keeper.state.members.values()]
    const isRegistered = members.some(member => member.id === self.id)
    const neighbours = ringNeighbours(self, isRegistered ? members : [...members, self]).map(member => member.address)
    if (isRegistered && this._membership.reachableStatuses().length > 0) return neighbours
    return [...neighbours, ...this._selectSeeds()]
  }

  /** Selects seeds from a starting index that depends on the own address, so that processes spread over the seeds. */
  private _selectSeeds (): SocketAddress[] {
    const { address } = this._membership.self
    const others = this._seeds.filter(seed => seed.host !== address.host || seed.port !== address.port)
    const start = others.length > 0 ? (address.port + address.host.length) % others.length : 0
    return [...others.slice(start), ...others.slice(0, start)].slice(0, MAXIMUM_SEED_CONNECTIONS)
  }

  private _startPeer (key: string, address: SocketAddress): void {
    const task = new PeerTask(address, this._secret, this._membership, this._methods, this._keeper, this._clock, this._random, this._metrics)
    const { stop } = this._supervisor.start(task)
    this._runningPeers.set(key, { task, stop })
  }
}
