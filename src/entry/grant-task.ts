/**
 * Moves units of upper limits to the entry processes that need them.
 */
import type { Metrics } from '../observability/metrics.js'
import type { RoleStatus } from '../peers/role-status.js'
import type { Command } from '../schemas/command.js'
import type { Holder } from '../schemas/holder.js'
import type { MemberStatus } from '../schemas/member-status.js'
import type { CommandSubmitter } from '../state/command-submitter.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import type { IdentifierSource } from '../supervision/identifier-source.js'
import { Task } from '../supervision/task.js'
import type { GrantPlan } from './grant-plan.js'
import type { GrantPolicy } from './grant-policy.js'
import type { LimitLedger } from './limit-ledger.js'
import type { PoolQueues } from './pool-queues.js'

const POLL_INTERVAL_MILLISECONDS = 100

/** Time for which one submission of a change waits for its decision; afterwards the same record is submitted again. */
const CHANGE_TIMEOUT_MILLISECONDS = 5_000

/** Time for which a team counts as active after its last request at this process. */
const ACTIVE_PERIOD_MILLISECONDS = 1_000

/** Time limit for each change that returns units during shutdown. */
const RETURN_TIMEOUT_MILLISECONDS = 2_000

/** The planned change to one team's grants. */
interface TeamPlan extends GrantPlan {
  readonly team: string
}

/**
 * Plans the grants of all teams, writes one change to the log and waits until it is decided
 * before it writes the next.
 *
 * Units are withheld from use before the record that returns or transfers them is written,
 * and may be used again only once that record has been refused. If the response to a write
 * is lost, part of the limit stays unused for a while, but the limit is never exceeded.
 */
export class GrantTask extends Task {
  override readonly name = 'grants'
  private _undecidedChange: { command: Command, id: string } | null = null
  private readonly _activeUntil = new Map<string, number>()
  private _waitingTasks = new Map<string, number>()
  private _tasksCountedAtOffset = -1

  constructor (
    private readonly _self: Holder,
    private readonly _ledger: LimitLedger,
    private readonly _queues: PoolQueues,
    private readonly _policy: GrantPolicy,
    private readonly _peerStatuses: () => readonly MemberStatus[],
    private readonly _keeper: StateKeeper,
    private readonly _submitter: CommandSubmitter,
    private readonly _identifiers: IdentifierSource,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics,
    private readonly _isLogReachable: () => boolean
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this._submitChange(this._planTeams(), signal)
      // Records of other processes may have transferred units to this one.
      this._wakeQueues()
      await this._waitForNextPoll(signal)
    }
    await this._returnAllUnits()
  }

  /** Polls at the full rate also while other processes or tasks lack units; the interval is longer only while the whole fleet is idle. */
  private async _waitForNextPoll (signal: AbortSignal): Promise<void> {
    const isWanted = this._peerStatuses().some(status => status.grantUses?.some(use => use.wanted > 0)) || this._countWaitingTasks().size > 0
    if (isWanted || this._undecidedChange) await this._clock.sleepUntil(this._clock.now() + POLL_INTERVAL_MILLISECONDS, signal).catch(() => {})
    else await this._queues.waitForNextPoll(POLL_INTERVAL_MILLISECONDS, signal)
  }

  /** Returns this process's idle units and the units its waiting requests lack, to be reported to peers. */
  grantUses (): RoleStatus['grantUses'] {
    const waiting = this._countWaitingRequests()
    return [...this._keeper.state.teams.keys()].flatMap(team => {
      const usable = this._ledger.usable(team)
      const running = this._ledger.running(team)
      const wanted = Math.max(0, (waiting.get(team) ?? 0) - Math.max(0, usable - running))
      // Units in an undecided transfer can still be lent to its receiver.
      const inTransfer = this._ledger.undecidedTransfer(team)?.units ?? 0
      const idle = Math.max(0, usable - running - (waiting.get(team) ?? 0)) + inTransfer
      return wanted + idle > 0 ? [{ team, idle, wanted }] : []
    })
  }

  private async _submitChange (plans: TeamPlan[], signal: AbortSignal, timeout = CHANGE_TIMEOUT_MILLISECONDS): Promise<void> {
    const command = this._undecidedChange?.command ?? this._nextCommand(plans)
    if (!command) return
    this._withhold(command)
    const id = this._undecidedChange?.id ?? this._identifiers.next()
    this._undecidedChange = { command, id }
    const deadline = this._clock.now() + timeout
    const result = await this._submitter.submit(command, { id, purpose: 'grants', deadline, signal })
    // Units stay withheld until there is a decision; until then the same record is submitted again.
    if (result.kind === 'unknown' || result.kind === 'shed') return
    this._undecidedChange = null
    this._ledger.releaseWithheld(result.kind === 'accepted')
    this._metrics.count('grants.adjustments')
  }

  private _wakeQueues (): void {
    for (const queue of this._queues.all()) queue.wake()
  }

  private _nextCommand (plans: TeamPlan[]): Command | null {
    const member = this._keeper.state.members.get(this._self.member)
    // While no process reaches the log, a change would only withhold units; they are moved by loans instead.
    if (member?.incarnation !== this._self.incarnation || !this._isLogReachable()) return null
    const sequence = member.grantSequence + 1
    const adjustments = plans.filter(plan => plan.adjust !== 0).map(({ team, adjust }) => ({ team, units: adjust }))
    if (adjustments.length > 0) return { kind: 'adjust-grants', holder: this._self, sequence, changes: adjustments }
    return this._transferCommand(plans, sequence)
  }

  /** Puts all units for one receiver into one record; other receivers follow in later records. */
  private _transferCommand (plans: TeamPlan[], sequence: number): Command | null {
    const receiverId = plans.find(plan => plan.transfer)?.transfer?.member
    const receiver = receiverId === undefined ? undefined : this._keeper.state.members.get(receiverId)
    if (!receiver) return null
    const changes = plans.flatMap(({ team, transfer }) => transfer && transfer.member === receiver.id ? [{ team, units: transfer.units }] : [])
    return { kind: 'transfer-grants', holder: this._self, sequence, to: { member: receiver.id, incarnation: receiver.incarnation }, changes }
  }

  private _withhold (command: Command): void {
    if (command.kind === 'transfer-grants') {
      for (const { team, units } of command.changes) this._ledger.withhold(team, units)
      this._ledger.recordTransfer(command.to, command.sequence)
    }
    if (command.kind === 'adjust-grants') for (const { team, units } of command.changes) if (units < 0) this._ledger.withhold(team, -units)
  }

  private _planTeams (): TeamPlan[] {
    const peers = this._peerStatuses()
    const waiting = this._countWaitingRequests()
    const { state } = this._keeper
    const tasksWaiting = this._countWaitingTasks()
    const members = [...state.members.values()].filter(member => member.role === 'entry').length
    return [...state.teams.keys()].map(team => ({
      team,
      ...this._policy.plan({
        team,
        limit: state.upperLimit(team),
        granted: state.grantedUnits(team),
        held: this._ledger.held(team),
        // Lent units are in use elsewhere and can't be returned or transferred.
        running: this._ledger.running(team) + this._ledger.lent(team),
        waiting: waiting.get(team) ?? 0,
        tasksWaiting: tasksWaiting.get(team) ?? 0,
        isActive: this._isActive(team, waiting.get(team) ?? 0),
        members,
        wantedByOthers: this._wantedByPeers(peers, team)
      })
    }))
  }

  /** Waiting tasks by team, counted again only when the state's offset has changed. */
  private _countWaitingTasks (): ReadonlyMap<string, number> {
    const { state } = this._keeper
    if (this._tasksCountedAtOffset === state.offset) return this._waitingTasks
    this._tasksCountedAtOffset = state.offset
    this._waitingTasks = new Map()
    for (const { team, phase } of state.tasks.values()) {
      if (team !== null && phase === 'waiting') this._waitingTasks.set(team, (this._waitingTasks.get(team) ?? 0) + 1)
    }
    return this._waitingTasks
  }

  private _isActive (team: string, waiting: number): boolean {
    const now = this._clock.now()
    if (waiting + this._ledger.running(team) > 0) this._activeUntil.set(team, now + ACTIVE_PERIOD_MILLISECONDS)
    return (this._activeUntil.get(team) ?? 0) > now
  }

  private _wantedByPeers (peers: readonly MemberStatus[], team: string): Map<string, number> {
    const wanted = new Map<string, number>()
    for (const status of peers) {
      const use = status.grantUses?.find(candidate => candidate.team === team)
      if (use && use.wanted > 0) wanted.set(status.member, use.wanted)
    }
    return wanted
  }

  private _countWaitingRequests (): Map<string, number> {
    const waiting = new Map<string, number>()
    for (const queue of this._queues.all()) {
      for (const demand of queue.demands()) {
        if (demand.team !== null) waiting.set(demand.team, (waiting.get(demand.team) ?? 0) + demand.waiting)
      }
    }
    return waiting
  }

  /** Returns all units at a graceful shutdown, when no request runs any more, so that other processes can use them at once. */
  private async _returnAllUnits (): Promise<void> {
    const never = new AbortController().signal
    if (this._undecidedChange) await this._submitChange([], never, RETURN_TIMEOUT_MILLISECONDS)
    const plans = [...this._keeper.state.teams.keys()]
      .map(team => ({ team, adjust: this._ledger.lent(team) - this._ledger.held(team), transfer: null }))
      .filter(plan => plan.adjust < 0 && this._ledger.running(plan.team) === 0)
    await this._submitChange(plans, never, RETURN_TIMEOUT_MILLISECONDS)
  }
}
