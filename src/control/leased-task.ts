/**
 * Base class of tasks that one control process at a time runs, under a lease in the log.
 */
import type { Command } from '../schemas/command.js'
import type { Lease } from '../schemas/lease.js'
import type { LeaseProof } from '../schemas/lease-proof.js'
import type { AppendPurpose } from '../state/append-purpose.js'
import { FleetState } from '../state/fleet-state.js'
import { Task } from '../supervision/task.js'
import type { ControlContext } from './control-context.js'

/** Duration of a lease from its claim or renewal, in milliseconds. */
const LEASE_DURATION_MILLISECONDS = 10_000

/** Remaining lease time below which the holder renews it, in milliseconds. */
const RENEWAL_THRESHOLD_MILLISECONDS = 6_000

/**
 * Safety margin around a lease's deadline, in milliseconds: the holder stops working this long before the deadline, and
 * other processes claim the lease this long after it. It is also the longest wait before another process checks again.
 */
const STOP_MARGIN_MILLISECONDS = 1_000

/** Upper bound of the random delay before a free lease is claimed, in milliseconds; distributes the leases over the processes. */
const ACQUIRE_JITTER_MILLISECONDS = 500

/** Time limit for one command, in milliseconds. */
const COMMAND_TIMEOUT_MILLISECONDS = 3_000

/**
 * Claims the lease when it is free and runs steps while it holds it. The task doesn't release the lease at a graceful
 * shutdown: the record by which the process leaves the member set releases all its leases at once. No step relies on
 * the lease alone: its commands carry the fencing token, and its calls to the platform are idempotent.
 */
export abstract class LeasedTask extends Task {
  /** Name of the lease in the log. */
  protected abstract readonly leaseName: string

  /** Interval between steps, in milliseconds. Default: 200. */
  protected readonly stepIntervalMilliseconds: number = 200

  constructor (protected readonly context: ControlContext) {
    super()
  }

  /** Performs one step; it must take much less time than a lease lasts. */
  protected abstract step (proof: LeaseProof, signal: AbortSignal): Promise<void>

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const lease = await this._acquire(signal)
      if (lease) await this._workWhileHeld(lease, signal)
    }
  }

  /** Submits a command and waits for its decision; false if it was refused or isn't decided before the time limit. */
  protected async submit (command: Command, purpose: AppendPurpose): Promise<boolean> {
    const { clock, identifiers, submitter } = this.context
    const deadline = clock.now() + COMMAND_TIMEOUT_MILLISECONDS
    const result = await submitter.submit(command, { id: identifiers.next(), purpose, deadline })
    return result.kind === 'accepted'
  }

  /** Waits by the clock of the context, or until the signal is aborted. */
  protected async pause (signal: AbortSignal, milliseconds: number): Promise<void> {
    const { clock } = this.context
    await clock.sleepUntil(clock.now() + milliseconds, signal).catch(() => {})
  }

  private async _workWhileHeld (acquired: Lease, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const lease = this._heldLease()
      if (!lease || lease.token !== acquired.token || this._remainingMilliseconds(lease) < STOP_MARGIN_MILLISECONDS) {
        this.context.metrics.count('control.lease_losses', 1, this.leaseName)
        return
      }
      if (this._remainingMilliseconds(lease) < RENEWAL_THRESHOLD_MILLISECONDS) await this._claim(lease.token)
      await this.step({ lease: this.leaseName, token: lease.token }, signal)
      await this.pause(signal, this.stepIntervalMilliseconds)
    }
  }

  /** Claims the lease if it is free or expired, otherwise waits for a change; undefined if this process doesn't hold it afterwards. */
  private async _acquire (signal: AbortSignal): Promise<Lease | undefined> {
    const { keeper, clock, random, self } = this.context
    const current = keeper.state.leases.get(this.leaseName)
    const mustWait = !keeper.state.isRegistered(self) || (current && !this._isHeldBySelf(current) && clock.now() < current.deadline + STOP_MARGIN_MILLISECONDS)
    if (mustWait) {
      await keeper.changed.wait(clock, clock.now() + STOP_MARGIN_MILLISECONDS, signal)
      return undefined
    }
    await this.pause(signal, random.integer(ACQUIRE_JITTER_MILLISECONDS))
    if (signal.aborted || keeper.state.leases.get(this.leaseName)?.token !== current?.token) return undefined
    await this._claim(current?.token ?? 0)
    return this._heldLease()
  }

  private async _claim (expectedToken: number): Promise<void> {
    const { clock, self } = this.context
    const deadline = clock.now() + LEASE_DURATION_MILLISECONDS
    await this.submit({ kind: 'take-lease', name: this.leaseName, holder: self, expectedToken, deadline }, 'leases')
  }

  private _heldLease (): Lease | undefined {
    const lease = this.context.keeper.state.leases.get(this.leaseName)
    return lease && this._isHeldBySelf(lease) ? lease : undefined
  }

  private _isHeldBySelf (lease: Lease): boolean {
    return FleetState.holderKey(lease.holder) === FleetState.holderKey(this.context.self)
  }

  private _remainingMilliseconds (lease: Lease): number {
    return lease.deadline - this.context.clock.now()
  }
}
