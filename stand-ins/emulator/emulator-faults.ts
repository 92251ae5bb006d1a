/**
 * Fault settings of the emulated platform.
 */
import type { Clock } from '../../src/supervision/clock.js'
import type { EmulatedWorker } from './emulated-worker.js'
import { LateConnections } from './late-connections.js'
import { VirtualMachineFaults } from './virtual-machine-faults.js'

/** Services whose calls or responses are lost: those of the store, of the workers, or of all of them. */
type LossScope = 'store' | 'workers' | 'platform'

/** A response of the store. */
interface StoreResponse {
  readonly status: number
  readonly body: Buffer | object
}

/** Faults and delays that tests set; no fault is on at first. */
export class EmulatorFaults {
  /** Faults of the control interface of the VMs. */
  readonly virtualMachines = new VirtualMachineFaults()
  /** Connections to silent workers. */
  readonly lateConnections = new LateConnections()
  /** Callers whose calls don't reach the store. */
  readonly disconnectedCallers = new Set<string>()
  /** Killed processes, whose calls reach no service. */
  readonly killedCallers = new Set<string>()
  /** Callers whose calls don't arrive; responses to earlier calls still reach them. */
  readonly unheardCallers = new Map<string, LossScope>()
  /** Callers whose calls arrive, but which get no response. */
  readonly unansweredCallers = new Map<string, LossScope>()
  /** Whether the store is away: calls to it get no response. */
  isStoreAway = false
  /** Callers that can reach a worker, by its address; every caller can reach a worker without an entry. */
  readonly allowedCallers = new Map<string, ReadonlySet<string>>()
  /** Status with which the store refuses all calls; 0 if it doesn't. */
  refusalStatus = 0
  /** Latency of each call to the store, in milliseconds. */
  storeLatencyMilliseconds = 4
  /** Extra latency of reads of the newest records, in milliseconds, by topic. */
  readonly newestReadDelays = new Map<string, number>()
  /** Topics whose reads the store refuses. */
  readonly unreadableTopics = new Set<string>()
  /** Times that workers which start from now on take until a run is at work, and to stop one, in milliseconds. */
  warmUpMilliseconds = 0
  stopMilliseconds = 0
  /** Time after its start at which a worker registers, in milliseconds. */
  registrationMilliseconds = 0
  /** Bandwidth of the link to a caller, in bytes per second; unlimited for a caller without an entry. */
  readonly linkBytesPerSecond = new Map<string, number>()
  /** Epoch milliseconds until which each limited link is busy. */
  private readonly _linksBusyUntil = new Map<string, number>()
  /** Extra latency of appends, in milliseconds, by topic. */
  readonly appendDelays = new Map<string, number>()
  /** Latency of the responses to appends, which have been executed by then, in milliseconds. */
  appendResponseMilliseconds = 0
  /** Number of appends, from the next one on, that are executed without a response. */
  lostAppendResponses = 0
  /** Delay of the appends of a caller, which are executed late and get no response, in milliseconds. */
  readonly lateAppends = new Map<string, number>()
  /** Latency of the calls to a slow worker, in milliseconds, by its address. */
  readonly workerLatencies = new Map<string, number>()
  /** Latency of a start on a worker, in milliseconds. */
  startLatencyMilliseconds = 0
  /** Latency of the lease renewals of a worker, in milliseconds, so that orders overtake them. */
  renewalLatencyMilliseconds = 0
  /** Time that a worker's report takes to its caller once it has been made, in milliseconds, so that it may be older than a start that was accepted meanwhile. */
  reportMilliseconds = 0
  /** Number of starts, from the next one on, that get no response and are executed late. */
  lateStarts = 0
  /** Addresses of workers at which every start gets no response and is executed late. */
  readonly lateStartAddresses = new Set<string>()
  /** Addresses of workers at which no stop arrives. */
  readonly lostStopAddresses = new Set<string>()
  /** Delay of a late start, in milliseconds. */
  lateStartMilliseconds = 3_000
  /** Whether a late start or renewal is executed by the worker that has the same ID and address by then, even if it is another incarnation. */
  lateStartsReachSuccessors = false
  /** Addresses of workers at which every lease renewal gets no response and is executed late. */
  readonly lateRenewalAddresses = new Set<string>()
  /** Number of late renewals that have reached another incarnation than the intended one, which may have refused them. */
  renewalsOnSuccessors = 0
  /** Delay of a late renewal, in milliseconds. */
  lateRenewalMilliseconds = 3_000

  /** Time that each call of a caller to other services than the store takes of its processor, in milliseconds; it makes one after the other. */
  readonly callMilliseconds = new Map<string, number>()
  /** Epoch milliseconds until which the calls so far occupy each such caller. */
  private readonly _callersBusyUntil = new Map<string, number>()

  /** Time that a call to the advice service takes, in milliseconds. */
  adviceMilliseconds = 0
  /** Addresses at which connections are refused although a worker is there. */
  readonly refusedAddresses = new Set<string>()
  /** Time after which a worker that a run has crashed is back, in milliseconds. */
  crashDowntimeMilliseconds = 3_000
  /** Whether such a worker is back under its ID; otherwise another worker is at its address. */
  keepsIdAfterCrash = false

  /**
   * Executes a call to a worker late if faults delay it; it gets no response then. Returns whether they do.
   *
   * @param current returns the current incarnation at the address.
   */
  isExecutedLate (call: string, order: Record<string, never>, intended: EmulatedWorker, current: () => EmulatedWorker | undefined, clock: Clock): boolean {
    const isLate = call === 'hold' ? this.lateRenewalAddresses.has(intended.address) : call === 'run-start' && this.consumeLateStart(intended.address)
    if (!isLate) return false
    const milliseconds = call === 'hold' ? this.lateRenewalMilliseconds : this.lateStartMilliseconds
    clock.sleepUntil(clock.now() + milliseconds).then(async () => {
      const executor = this._lateExecutor(intended, current())
      if (call === 'hold' && executor && executor !== intended) this.renewalsOnSuccessors += 1
      await executor?.handle(call, order)
    }).catch(() => {})
    return true
  }

  /** Returns whether the next start at an address is late, and counts it. */
  consumeLateStart (address: string): boolean {
    if (this.lateStartAddresses.has(address)) return true
    if (this.lateStarts === 0) return false
    this.lateStarts -= 1
    return true
  }

  /** Returns the worker that executes a late call, if any: the intended incarnation, or the current one at its address. */
  private _lateExecutor (intended: EmulatedWorker, current: EmulatedWorker | undefined): EmulatedWorker | null {
    const executor = this.lateStartsReachSuccessors ? current : intended
    return executor?.id === intended.id && !executor.isTerminated ? executor : null
  }

  /** Returns whether the calls of a caller don't arrive at a service. */
  isUnheard (caller: string, service: 'store' | 'workers' | 'other'): boolean {
    const scope = this.unheardCallers.get(caller)
    return this.killedCallers.has(caller) || scope === 'platform' || scope === service
  }

  /** Returns whether a caller gets no responses from a service. */
  isUnanswered (caller: string, service: 'store' | 'workers' | 'other'): boolean {
    const scope = this.unansweredCallers.get(caller)
    return scope === 'platform' || scope === service
  }

  /** Waits until the processor of a caller has made a call. */
  async makeCall (caller: string, clock: Clock): Promise<void> {
    const milliseconds = this.callMilliseconds.get(caller)
    if (milliseconds === undefined) return
    const madeAt = Math.max(clock.now(), this._callersBusyUntil.get(caller) ?? 0) + milliseconds
    this._callersBusyUntil.set(caller, madeAt)
    await clock.sleepUntil(madeAt)
  }

  /** Waits until the link of a caller has carried a response; the link carries one response at a time. */
  private async _transmit (caller: string, { body }: StoreResponse, clock: Clock): Promise<void> {
    const bytesPerSecond = this.linkBytesPerSecond.get(caller)
    if (bytesPerSecond === undefined || !Buffer.isBuffer(body)) return
    const sentAt = Math.max(clock.now(), this._linksBusyUntil.get(caller) ?? 0) + body.length / bytesPerSecond * 1_000
    this._linksBusyUntil.set(caller, sentAt)
    await clock.sleepUntil(sentAt)
  }

  /** Executes a call to the store under the current faults; returns null if the caller gets no response. */
  async apply (caller: string, call: string, topic: string, serve: () => Promise<StoreResponse>, clock: Clock): Promise<StoreResponse | null> {
    if (this.isStoreAway || this.disconnectedCallers.has(caller)) return null
    if (this.unreadableTopics.has(topic) && call !== 'log-append') return { status: 503, body: {} }
    if (this.refusalStatus !== 0) return { status: this.refusalStatus, body: {} }
    const lateMilliseconds = call === 'log-append' ? this.lateAppends.get(caller) : undefined
    if (lateMilliseconds !== undefined) {
      clock.sleepUntil(clock.now() + lateMilliseconds).then(serve).catch(() => {})
      return null
    }
    const delays = call === 'log-newest' ? this.newestReadDelays : call === 'log-append' ? this.appendDelays : null
    await clock.sleepUntil(clock.now() + this.storeLatencyMilliseconds + (delays?.get(topic) ?? 0))
    const response = await serve()
    await this._transmit(caller, response, clock)
    if (call === 'log-append' && this.appendResponseMilliseconds > 0) await clock.sleepUntil(clock.now() + this.appendResponseMilliseconds)
    if (call === 'log-append' && this.lostAppendResponses > 0) {
      this.lostAppendResponses -= 1
      return null
    }
    return this.isStoreAway || this.disconnectedCallers.has(caller) ? null : response
  }
}
