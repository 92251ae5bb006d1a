/**
 * Keeps a task for each neighbour.
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

/** Seeds from the settings that are called on besides the neighbours while the state is empty or old. */
const SEED_CONNECTIONS = 3

/** How often the neighbours are worked out without a change of state, in milliseconds. */
const REVIEW_INTERVAL_MILLISECONDS = 2_000

/** A neighbour's task with the function that stops it. */
interface Running {
  readonly task: PeerTask
  readonly stop: () => Promise<void>
}

/** Follows the member set: neighbours on the rings, and seeds while this process knows too few members. */
export class PeerDirectoryTask extends Task {
  override readonly name = 'peer-directory'
  private readonly _running = new Map<string, Running>()

  /**
   * @param _supervisor under which peer tasks run.
   * @param _seeds addresses from the settings.
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

  /** Open channels to neighbours, with the neighbour's last account of itself. */
  channels (): { entry: MemberStatus | null, channel: PeerChannel }[] {
    return [...this._running.values()].flatMap(({ task }) => task.channel ? [{ entry: task.entry, channel: task.channel }] : [])
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this._reconcile()
      this._metrics.setGauge('peers.connected.level', this.channels().length)
      await this._keeper.changed.wait(this._clock, this._clock.now() + REVIEW_INTERVAL_MILLISECONDS, signal)
    }
  }

  private _reconcile (): void {
    const wanted = new Map(this._wantedAddresses().map(address => [`${address.host}:${address.port}`, address]))
    for (const [key, { stop }] of this._running) {
      if (wanted.has(key)) continue
      this._running.delete(key)
      void stop()
    }
    for (const [key, address] of wanted) if (!this._running.has(key)) this._start(key, address)
  }

  private _wantedAddresses (): SocketAddress[] {
    const { self } = this._membership
    const members = [...this._keeper.state.members.values()]
    const isRegistered = members.some(member => member.id === self.id)
    const neighbours = ringNeighbours(self, isRegistered ? members : [...members, self]).map(member => member.address)
    if (isRegistered && this._membership.living().length > 0) return neighbours
    return [...neighbours, ...this._chosenSeeds()]
  }

  /** Seeds, beginning at a place that differs between processes. */
  private _chosenSeeds (): SocketAddress[] {
    const { address } = this._membership.self
    const others = this._seeds.filter(seed => seed.host !== address.host || seed.port !== address.port)
    const start = others.length > 0 ? (address.port + address.host.length) % others.length : 0
    return [...others.slice(start), ...others.slice(0, start)].slice(0, SEED_CONNECTIONS)
  }

  private _start (key: string, address: SocketAddress): void {
    const task = new PeerTask(address, this._secret, this._membership, this._methods, this._keeper, this._clock, this._random, this._metrics)
    const { stop } = this._supervisor.start(task)
    this._running.set(key, { task, stop })
  }
}
