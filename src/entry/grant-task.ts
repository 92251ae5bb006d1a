/**
 * Moves units of upper limits to where the work is.
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

/** How often grants are looked at, in milliseconds. */
const GRANT_INTERVAL_MILLISECONDS = 100

/** How long one change of grants is tried before it is looked at anew, in milliseconds. */
const CHANGE_TIMEOUT_MILLISECONDS = 5_000

/** Time for which a team counts as active after its last work here, in milliseconds. */
const ACTIVE_MILLISECONDS = 1_000

/** How long giving everything back at a planned stop may take, in milliseconds. */
const GIVE_BACK_TIMEOUT_MILLISECONDS = 2_000

/** A team's plan. */
interface TeamPlan extends GrantPlan {
  readonly team: string
}

/**
 * Looks at all teams, writes one change, and waits for the fold's verdict before the next.
 *
 * Units are kept from use before the record that gives them away is written, and come
 * back into use only when the fold has decided against it: a lost answer costs some of
 * the limit for a while, and never exceeds it.
 */
export class GrantTask extends Task {
  override readonly name = 'grants'
  private _undecided: { command: Command, id: string } | null = null
  private readonly _activeUntil = new Map<string, number>()
  private _tasksWaiting = new Map<string, number>()
  private _tasksCountedAt = -1

  constructor (
    private readonly _self: Holder,
    private readonly _ledger: LimitLedger,
    private readonly _queues: PoolQueues,
    private readonly _policy: GrantPolicy,
    private readonly _others: () => readonly MemberStatus[],
    private readonly _keeper: StateKeeper,
    private readonly _submitter: CommandSubmitter,
    private readonly _identifiers: IdentifierSource,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics,
    private readonly _isLogReached: () => boolean
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this._step(this._plans(), signal)
      // Units may also have come from others, by their records.
      this._wakeQueues()
      await this._pause(signal)
    }
    await this._giveAllBack()
  }

  /** Others' wants are looked after at the full pace too; only a quiet fleet is looked at seldom. */
  private async _pause (signal: AbortSignal): Promise<void> {
    const isWanted = this._others().some(entry => entry.grantUses?.some(use => use.wanted > 0)) || this._countTasksWaiting().size > 0
    if (isWanted || this._undecided) await this._clock.sleepUntil(this._clock.now() + GRANT_INTERVAL_MILLISECONDS, signal).catch(() => {})
    else await this._queues.pause(GRANT_INTERVAL_MILLISECONDS, signal)
  }

  /** Units that stand idle here and units that waiting work could use, for the others to see. */
  grantUses (): RoleStatus['grantUses'] {
    const waiting = this._waitingByTeam()
    return [...this._keeper.state.teams.keys()].flatMap(team => {
      const usable = this._ledger.usable(team)
      const running = this._ledger.running(team)
      const wanted = Math.max(0, (waiting.get(team) ?? 0) - Math.max(0, usable - running))
      // Units under way to a holder can still be lent to it.
      const underWay = this._ledger.undecidedTransfer(team)?.units ?? 0
      const idle = Math.max(0, usable - running - (waiting.get(team) ?? 0)) + underWay
      return wanted + idle > 0 ? [{ team, idle, wanted }] : []
    })
  }

  private async _step (plans: TeamPlan[], signal: AbortSignal, timeout = CHANGE_TIMEOUT_MILLISECONDS): Promise<void> {
    const command = this._undecided?.command ?? this._commandFor(plans)
    if (!command) return
    this._withhold(command)
    const id = this._undecided?.id ?? this._identifiers.next()
    this._undecided = { command, id }
    const deadline = this._clock.now() + timeout
    const result = await this._submitter.submit(command, { id, purpose: 'grants', deadline, signal })
    // Only a verdict ends the withholding. Until then the same record is written again.
    if (result.kind === 'unknown' || result.kind === 'shed') return
    this._undecided = null
    this._ledger.releaseWithheld(result.kind === 'accepted')
    this._metrics.count('grants.adjustments')
  }

  private _wakeQueues (): void {
    for (const queue of this._queues.all()) queue.wake()
  }

  private _commandFor (plans: TeamPlan[]): Command | null {
    const member = this._keeper.state.members.get(this._self.member)
    // While nobody reaches the log a change would only keep units from use; loans move them then.
    if (member?.incarnation !== this._self.incarnation || !this._isLogReached()) return null
    const sequence = member.grantSequence + 1
    const adjustments = plans.filter(plan => plan.adjust !== 0).map(({ team, adjust }) => ({ team, units: adjust }))
    if (adjustments.length > 0) return { kind: 'adjust-grants', holder: this._self, sequence, changes: adjustments }
    return this._transfer(plans, sequence)
  }

  /** All units for one receiver in one record; the others follow in the next. */
  private _transfer (plans: TeamPlan[], sequence: number): Command | null {
    const receiver = plans.find(plan => plan.transfer)?.transfer?.member
    const to = receiver === undefined ? undefined : this._keeper.state.members.get(receiver)
    if (!to) return null
    const changes = plans.flatMap(({ team, transfer: pass }) => pass && pass.member === to.id ? [{ team, units: pass.units }] : [])
    return { kind: 'transfer-grants', holder: this._self, sequence, to: { member: to.id, incarnation: to.incarnation }, changes }
  }

  private _withhold (command: Command): void {
    if (command.kind === 'transfer-grants') {
      for (const { team, units } of command.changes) this._ledger.withhold(team, units)
      this._ledger.recordTransfer(command.to, command.sequence)
    }
    if (command.kind === 'adjust-grants') for (const { team, units } of command.changes) if (units < 0) this._ledger.withhold(team, -units)
  }

  private _plans (): TeamPlan[] {
    const others = this._others()
    const waiting = this._waitingByTeam()
    const { state } = this._keeper
    const tasksWaiting = this._countTasksWaiting()
    const members = [...state.members.values()].filter(member => member.role === 'entry').length
    return [...state.teams.keys()].map(team => ({
      team,
      ...this._policy.plan({
        team,
        limit: state.upperLimit(team),
        granted: state.grantedUnits(team),
        held: this._ledger.held(team),
        // What is lent is in use elsewhere and cannot be given away.
        running: this._ledger.running(team) + this._ledger.lent(team),
        waiting: waiting.get(team) ?? 0,
        tasksWaiting: tasksWaiting.get(team) ?? 0,
        isActive: this._isActive(team, waiting.get(team) ?? 0),
        members,
        wantedByOthers: this._wantedBy(others, team)
      })
    }))
  }

  /** Waiting tasks by team, counted anew only when the state has moved. */
  private _countTasksWaiting (): ReadonlyMap<string, number> {
    const { state } = this._keeper
    if (this._tasksCountedAt === state.offset) return this._tasksWaiting
    this._tasksCountedAt = state.offset
    this._tasksWaiting = new Map()
    for (const { team, phase } of state.tasks.values()) {
      if (team !== null && phase === 'waiting') this._tasksWaiting.set(team, (this._tasksWaiting.get(team) ?? 0) + 1)
    }
    return this._tasksWaiting
  }

  private _isActive (team: string, waiting: number): boolean {
    const now = this._clock.now()
    if (waiting + this._ledger.running(team) > 0) this._activeUntil.set(team, now + ACTIVE_MILLISECONDS)
    return (this._activeUntil.get(team) ?? 0) > now
  }

  private _wantedBy (others: readonly MemberStatus[], team: string): Map<string, number> {
    const wanted = new Map<string, number>()
    for (const entry of others) {
      const use = entry.grantUses?.find(candidate => candidate.team === team)
      if (use && use.wanted > 0) wanted.set(entry.member, use.wanted)
    }
    return wanted
  }

  private _waitingByTeam (): Map<string, number> {
    const waiting = new Map<string, number>()
    for (const queue of this._queues.all()) {
      for (const demand of queue.demands()) {
        if (demand.team !== null) waiting.set(demand.team, (waiting.get(demand.team) ?? 0) + demand.waiting)
      }
    }
    return waiting
  }

  /** At a planned stop nothing runs any more, and the others can use the units at once. */
  private async _giveAllBack (): Promise<void> {
    const never = new AbortController().signal
    if (this._undecided) await this._step([], never, GIVE_BACK_TIMEOUT_MILLISECONDS)
    const plans = [...this._keeper.state.teams.keys()]
      .map(team => ({ team, adjust: this._ledger.lent(team) - this._ledger.held(team), pass: null }))
      .filter(plan => plan.adjust < 0 && this._ledger.running(plan.team) === 0)
    await this._step(plans, never, GIVE_BACK_TIMEOUT_MILLISECONDS)
  }
}
