/**
 * Work that one control process at a time does, under a lease in the log.
 */
import type { Command } from '../schemas/command.js'
import type { Lease } from '../schemas/lease.js'
import type { LeaseProof } from '../schemas/lease-proof.js'
import type { AppendPurpose } from '../state/append-purpose.js'
import { FleetState } from '../state/fleet-state.js'
import { Task } from '../supervision/task.js'
import type { ControlContext } from './control-context.js'

/** How long a lease runs from its renewal, in milliseconds. */
const LEASE_MILLISECONDS = 10_000

/** Remaining time below which a lease is renewed, in milliseconds. */
const RENEW_BELOW_MILLISECONDS = 6_000

/** Remaining time below which the holder stops working, in milliseconds. */
const STOP_BELOW_MILLISECONDS = 1_000

/** Longest pause before a free lease is tried, in milliseconds; spreads the leases over the processes. */
const ACQUIRE_SPREAD_MILLISECONDS = 500

/** How long one command is tried, in milliseconds. */
const COMMAND_TIMEOUT_MILLISECONDS = 3_000

/**
 * Takes the lease when it is free and works step by step while it holds it. At a planned
 * stop the lease ends with the process's leave, which one record settles for all. Nothing that a step does relies on the lease alone: its commands
 * carry the fencing token, and its calls to the platform are idempotent.
 */
export abstract class LeasedTask extends Task {
  /** Name of the lease. */
  protected abstract readonly lease: string

  /** Time between steps, in milliseconds. Default: 200. */
  protected readonly stepMilliseconds: number = 200

  constructor (protected readonly parts: ControlContext) {
    super()
  }

  /** One step of the work; must be short against the lease. */
  protected abstract step (proof: LeaseProof, signal: AbortSignal): Promise<void>

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const lease = await this._acquire(signal)
      if (lease) await this._work(lease, signal)
    }
  }

  /** Submits a command and waits for its verdict; false if it was refused or isn't decided yet. */
  protected async submit (command: Command, purpose: AppendPurpose): Promise<boolean> {
    const { clock, identifiers, submitter } = this.parts
    const deadline = clock.now() + COMMAND_TIMEOUT_MILLISECONDS
    const result = await submitter.submit(command, { id: identifiers.next(), purpose, deadline })
    return result.kind === 'accepted'
  }

  /** Waits a moment of this work's own clock. */
  protected async pause (signal: AbortSignal, milliseconds: number): Promise<void> {
    const { clock } = this.parts
    await clock.sleepUntil(clock.now() + milliseconds, signal).catch(() => {})
  }

  private async _work (taken: Lease, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const lease = this._own()
      if (!lease || lease.token !== taken.token || this._remaining(lease) < STOP_BELOW_MILLISECONDS) {
        this.parts.metrics.count('control.lease_losses', 1, this.lease)
        return
      }
      if (this._remaining(lease) < RENEW_BELOW_MILLISECONDS) await this._take(lease.token)
      await this.step({ lease: this.lease, token: lease.token }, signal)
      await this.pause(signal, this.stepMilliseconds)
    }
  }

  /** Waits until the lease is free or lapsed and takes it; undefined if another was first. */
  private async _acquire (signal: AbortSignal): Promise<Lease | undefined> {
    const { keeper, clock, random, self } = this.parts
    const present = keeper.state.leases.get(this.lease)
    const isWaiting = !keeper.state.isRegistered(self) || (present && !this._isOwn(present) && clock.now() < present.deadline + STOP_BELOW_MILLISECONDS)
    if (isWaiting) {
      await keeper.changed.wait(clock, clock.now() + STOP_BELOW_MILLISECONDS, signal)
      return undefined
    }
    await this.pause(signal, random.integer(ACQUIRE_SPREAD_MILLISECONDS))
    if (signal.aborted || keeper.state.leases.get(this.lease)?.token !== present?.token) return undefined
    await this._take(present?.token ?? 0)
    return this._own()
  }

  private async _take (expectedToken: number): Promise<void> {
    const { clock, self } = this.parts
    const deadline = clock.now() + LEASE_MILLISECONDS
    await this.submit({ kind: 'take-lease', name: this.lease, holder: self, expectedToken, deadline }, 'leases')
  }

  private _own (): Lease | undefined {
    const lease = this.parts.keeper.state.leases.get(this.lease)
    return lease && this._isOwn(lease) ? lease : undefined
  }

  private _isOwn (lease: Lease): boolean {
    return FleetState.holderKey(lease.holder) === FleetState.holderKey(this.parts.self)
  }

  private _remaining (lease: Lease): number {
    return lease.deadline - this.parts.clock.now()
  }
}
