/**
 * What may become of the starts that were sent to a worker.
 */
import { WORKER_CLOCK_RATE } from '../jobs/worker-clock-rate.js'
import type { FleetTimings } from '../scheduling/fleet-timings.js'
import type { TaskRun } from '../scheduling/task-run.js'
import { FormerOrders } from './former-orders.js'
import { LEASE_EXPIRY_MARGIN_MILLISECONDS } from './lease-expiry-margin.js'
import { WorkerContact } from './worker-contact.js'

/** Until when starts may be carried out, by which incarnations under the worker's ID, and until when runs go on that begin so. */
export abstract class WorkerStarts extends WorkerContact {
  /** Epoch milliseconds by which this term knew of the present incarnation. */
  incarnationKnownAt = Infinity
  /**
   * Fencing tokens of the starts that got no response, by `TASK/RUN`. Until a call with a higher token or the stop of the run has been answered, the run may begin
   * for as long as the lease is extended.
   */
  readonly unsettledRuns = new Map<string, number>()
  /** Highest fencing token that the present incarnation is known to have seen: it carries out no order with a lower one. */
  private _confirmedToken = 0
  /** Epoch milliseconds by which leases have expired that unsettled starts of earlier owners may have set on the next incarnation; 0 if the journal says nothing. */
  inheritedStartsExpireAt = 0
  /** Whether this incarnation had been up for less than the longest delay of a call when this owner learned of it. */
  isYoung = false
  /** Orders for the former incarnation. */
  readonly formerOrders: FormerOrders

  /**
   * @param _inheritedStartsOverAt epoch milliseconds by which no start of another owner is on its way any more.
   * @param _limits longest lease that a worker accepts, on its own clock, and longest time from a call without a response until it may be carried out.
   */
  constructor (private readonly _inheritedStartsOverAt: number, private readonly _limits: Pick<FleetTimings, 'maximumLeaseMilliseconds' | 'maximumCallDelayMilliseconds'>) {
    super()
    this.formerOrders = new FormerOrders(_limits)
  }

  /**
   * Returns the epoch milliseconds from which on evidence that no incarnation under the ID is there shows that a run is over; Infinity if none does. A start that is still on its way may
   * be carried out by the next incarnation.
   */
  endEvidenceFrom (run: TaskRun): number {
    if (run.isStarted || run.isConfirmed) return run.evidenceFrom
    return run.runState === 'settling' || run.runState === 'inherited' ? this.startOverAt(run) : Infinity
  }

  /** Returns the epoch milliseconds from which on the start of a run is too old to be carried out. */
  startOverAt ({ runState, startCallEndsAt }: TaskRun): number {
    return runState === 'inherited' ? this._inheritedStartsOverAt : startCallEndsAt + this._limits.maximumCallDelayMilliseconds
  }

  /** Whether its lease serves no run but such of which the start is unsettled: once it has expired, none of them runs or begins. */
  get hasOnlyUnsettledRuns (): boolean {
    return this.unsettledRuns.size + this.tasks.size > 0 && [...this.tasks].every(({ runState }) => runState === 'settling')
  }

  /** Whether the worker may not have seen the token that is in force, so that it may carry out orders with a lower one. */
  get isFenceUnconfirmed (): boolean {
    return this.client !== null && this.client.fence.token > this._confirmedToken
  }

  /** Records that the worker has answered a call with a fencing token, by its last report. */
  confirmToken (token: number): void {
    this._confirmedToken = Math.max(this._confirmedToken, token)
    this.formerOrders.answered(token, this.lastReportAt)
    for (const [run, startToken] of this.unsettledRuns) if (startToken < token) this.unsettledRuns.delete(run)
  }

  /** Returns the epoch milliseconds by which a lease has expired that an order carried out by `time` has set on an incarnation whose clock isn't known. */
  longestLeaseExpiresAt (time: number): number {
    return time + this._limits.maximumLeaseMilliseconds / WORKER_CLOCK_RATE.slowest + LEASE_EXPIRY_MARGIN_MILLISECONDS
  }

  /**
   * Epoch milliseconds by which leases have expired that starts meant for the former incarnation may set on the present one, for all of its runs; 0 if none can. An incarnation of which an earlier
   * owner knew may have a former one only if it is young.
   */
  protected get lateLeaseExpiresAt (): number {
    let expiresAt = 0
    for (const run of this.tasks) {
      const mayPrecede = run.runState === 'inherited' ? this.isYoung : run.startOrderedAt < this.incarnationKnownAt
      if (run.mayBeginLate && mayPrecede && !this.refusesStartOf(run)) expiresAt = Math.max(expiresAt, this.lateStartExpiresAt(run))
    }
    return expiresAt
  }

  protected lateStartExpiresAt (run: TaskRun): number {
    return run.runState === 'inherited' ? this.inheritedStartsExpireAt : this.longestLeaseExpiresAt(this.startOverAt(run))
  }

  /** Whether the present incarnation has seen a higher fencing token than that of the start of a run. */
  protected refusesStartOf ({ runState, startToken }: TaskRun): boolean {
    return runState === 'inherited' ? this._confirmedToken > 0 : startToken < this._confirmedToken
  }

  /** Epoch milliseconds by which no incarnation carries out an order of before the starts of all runs any more, be it a start or a renewal; a lease serves all of them. */
  protected get ordersOverAt (): number {
    return Math.max(...[...this.tasks].map(({ startCallEndsAt }) => startCallEndsAt)) + this._limits.maximumCallDelayMilliseconds
  }

  /**
   * Lets the worker refuse all orders from before by a higher fencing token, since another incarnation may have been meant.
   *
   * @param ordersOverAt epoch milliseconds by which none of them is carried out any more in any case.
   */
  shutOutOrders (ordersOverAt: number): void {
    this.formerOrders.incarnationStarted(ordersOverAt, this._raiseToken())
  }

  /** Forgets what the former incarnation has seen, and raises the fencing token, so that the present one refuses the orders for it from the first answer on. */
  protected forgetTokens (now: number): void {
    this.unsettledRuns.clear()
    this._confirmedToken = 0
    this.shutOutOrders(Math.max(now + this._limits.maximumCallDelayMilliseconds, this.ordersOverAt))
  }

  /** Returns the least token that orders for the former incarnation don't have; Infinity if there is none. */
  private _raiseToken (): number {
    const fence = this.client?.fence
    // This owner has called no incarnation, and its tokens are higher than those of earlier owners.
    if (!fence) return 0
    const { token } = fence
    fence.raiseAbove(token)
    return fence.token > token ? fence.token : Infinity
  }
}
