/**
 * Builds what runs while this process owns the journal.
 */
import { DemandPoolSizingPolicy } from '../capacity/demand-pool-sizing-policy.js'
import { InventoryTask } from '../capacity/inventory-task.js'
import type { FleetVirtualMachineControl } from '../capacity/fleet-virtual-machine-control.js'
import { VirtualMachineLocks } from '../capacity/virtual-machine-locks.js'
import { PoolStateCollector } from '../capacity/pool-state-collector.js'
import { PoolCapacity } from '../capacity/pool-capacity.js'
import { PoolSizingTask } from '../capacity/pool-sizing-task.js'
import { EvacuationTask } from '../capacity/evacuation-task.js'
import { WaveTask } from '../capacity/wave-task.js'
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { JobJournal } from '../jobs/job-journal.js'
import type { JournalFollowerTask } from '../jobs/journal-follower-task.js'
import type { SubmissionWriterTask } from '../jobs/submission-writer-task.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import { OwnerFactory } from '../ownership/owner-factory.js'
import type { TermClaim } from '../ownership/term-claim.js'
import { HttpWorkerConnector } from '../platform/http-worker-connector.js'
import { KeyedTopic } from '../platform/keyed-topic.js'
import type { CallClient } from '../platform/call-client.js'
import type { Dialer } from '../platform/dialer.js'
import { TopicWaveStatusPublisher } from '../platform/topic-wave-status-publisher.js'
import { TopicFeed } from '../platform/topic-feed.js'
import { WorkerCodec } from '../platform/worker-codec.js'
import { TakeoverTask } from '../scheduling/takeover-task.js'
import { AdviceTask } from '../scheduling/advice-task.js'
import type { Advisor } from '../scheduling/advisor.js'
import { DecisionWriterTask } from '../scheduling/decision-writer-task.js'
import { FleetSchedule } from '../scheduling/fleet-schedule.js'
import { OutcomeRetentionTask } from '../scheduling/outcome-retention-task.js'
import { ScheduledJobTable } from '../scheduling/scheduled-job-table.js'
import { FillerThrottlingTask } from '../scheduling/filler-throttling-task.js'
import { PlacementTask } from '../scheduling/placement-task.js'
import { WorkerReconciler } from '../scheduling/worker-reconciler.js'
import { ResourceReservations } from '../scheduling/resource-reservations.js'
import { StartRunTask } from '../scheduling/start-run-task.js'
import { StopRunTask } from '../scheduling/stop-run-task.js'
import { SupervisedRunOrderDispatcher } from '../scheduling/supervised-run-order-dispatcher.js'
import { TeamUsage } from '../scheduling/team-usage.js'
import { UrgencyPlacementPolicy } from '../scheduling/urgency-placement-policy.js'
import { WorkerRegistryFollowerTask } from '../scheduling/worker-registry-follower-task.js'
import { LeaseRenewalTask } from '../scheduling/lease-renewal-task.js'
import { WorkerTable } from '../scheduling/worker-table.js'
import type { FleetTimings } from '../scheduling/fleet-timings.js'
import type { NodeSettings } from '../settings/node-settings.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Supervisor } from '../supervision/supervisor.js'
import type { SupervisorObserver } from '../supervision/supervisor-observer.js'
import type { Task } from '../supervision/task.js'

/** Topic of the workers' registry. */
const WORKER_TOPIC = 'keyed.servers'

/** Age of the journal's and the operators' view beyond which no VM is moved, in milliseconds. */
const MAXIMUM_VIEW_AGE_MILLISECONDS = 2_000

/** Lease asked for, in milliseconds: outlasts a change of owner; work lost with a worker starts again after it. */
const LEASE_MILLISECONDS = 5_000

/** How long an owner that the store doesn't hear goes on extending leases, in milliseconds: with the lease it outlasts nine seconds of outage. */
const EXTENSION_MILLISECONDS = 6_000

/** Share of the longest lease that is asked for at most, so that a worker's clock never shortens it. */
const LEASE_SHARE = 0.85

/** Topic of what operators read. */
const STATUS_TOPIC = 'keyed.status'

/** The construction module's part for the owner. */
export class OwnerTreeFactory extends OwnerFactory {
  constructor (
    private readonly _settings: () => NodeSettings, private readonly _holder: string, private readonly _dialer: Dialer, private readonly _store: CallClient, private readonly _machines: FleetVirtualMachineControl | null, private readonly _advisor: Advisor | null, private readonly _decided: JobJournal, private readonly _decisions: JournalFollowerTask, private readonly _submissions: JournalFollowerTask, private readonly _submissionWriter: SubmissionWriterTask,
    private readonly _configuration: ConfigurationFollowerTask, private readonly _observer: SupervisorObserver,
    private readonly _clock: Clock, private readonly _random: RandomSource, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {
    super()
  }

  override create (term: number, claim: TermClaim, onLost: (cause: string) => void): Supervisor {
    const { _clock: clock, _random: random, _metrics: metrics, _log: log, _configuration: configuration, _decisions: { jobTable: book } } = this
    const { bounds } = this._settings()
    const lease = { milliseconds: Math.min(LEASE_MILLISECONDS, bounds.maximumLeaseMilliseconds * LEASE_SHARE), extensionMilliseconds: EXTENSION_MILLISECONDS }
    const holds = this._supervisor('holds')
    const orders = this._supervisor('orders')
    const writer = new DecisionWriterTask(this._decided, book, term, claim.sentAt, this._holder, onLost, clock, random, metrics)
    const runOrders: SupervisedRunOrderDispatcher = new SupervisedRunOrderDispatcher(
      orders,
      (task, worker) => new StartRunTask(task, worker, advice, schedule, runOrders, onLost, clock, metrics),
      (worker, task, run) => new StopRunTask(worker, task, run, schedule, onLost, clock, random, log)
    )
    const advice: AdviceTask = new AdviceTask(this._advisor, () => schedule.markChanged(), clock, metrics, log)
    const roster = new WorkerTable(configuration, lease, claim.isHandover ? clock.now() : claim.predecessorLastContactAt + EXTENSION_MILLISECONDS, clock, log)
    const jobs = new ScheduledJobTable()
    const room = new ResourceReservations(new TeamUsage(configuration))
    const schedule: FleetSchedule = new FleetSchedule(configuration, writer, runOrders, jobs, roster, room, clock, metrics, log)
    const reader = new WorkerReconciler(schedule, jobs, roster, runOrders, clock, metrics, log)
    const workers = new TopicFeed(new KeyedTopic(this._store, WORKER_TOPIC, clock), record => WorkerCodec.decode(record))
    const directory = new WorkerRegistryFollowerTask(
      roster, reader, holds, new HttpWorkerConnector(this._dialer), term,
      worker => new LeaseRenewalTask(worker, schedule, roster, reader, writer, lease, onLost, clock, random, metrics, log),
      workers, clock, random, metrics, log
    )
    const placement = new PlacementTask(schedule, jobs, roster, room, new UrgencyPlacementPolicy(configuration, room.teamUsage), advice, configuration, () => this._viewAt(), clock, metrics, log)
    const adoption = new TakeoverTask(book, directory, schedule, placement, clock)

    const owner = this._supervisor('owner')
    // The last child stops first: placement, then the writer, whose last decisions still become orders.
    for (const child of [orders, writer, holds, directory, advice, adoption, new OutcomeRetentionTask(book, jobs, writer, this._submissionWriter, bounds.statusRetentionMilliseconds, clock), new EvacuationTask(schedule, roster, clock), new FillerThrottlingTask(roster, clock, random, metrics, log)]) owner.add(child)
    if (this._machines) for (const child of this._capacity(this._machines, jobs, roster, writer, adoption, bounds, term, onLost)) owner.add(child)
    return owner
  }

  /** Moment (epoch milliseconds) as of which decisions, submissions and the operators' wishes are known. */
  private _viewAt (): number {
    return Math.min(this._decisions.freshAt, this._submissions.freshAt, this._configuration.freshAt)
  }

  /** Tasks that order VMs about. */
  private _capacity (control: FleetVirtualMachineControl, jobs: ScheduledJobTable, roster: WorkerTable, writer: DecisionWriterTask, adoption: TakeoverTask, bounds: FleetTimings, term: number, onLost: (cause: string) => void): Task[] {
    const { _clock: clock, _log: log, _configuration: configuration, _decisions: { jobTable: book } } = this
    const inventory = new InventoryTask(control, clock, log)
    const reservations = new VirtualMachineLocks(book, writer, term, bounds.holderChangeMilliseconds, clock)
    const board = new TopicWaveStatusPublisher(new KeyedTopic(this._store, STATUS_TOPIC, clock))
    const isAdopted = (): boolean => adoption.isDone
    const isViewCurrent = (): boolean => isAdopted() && this._viewAt() > clock.now() - MAXIMUM_VIEW_AGE_MILLISECONDS
    return [
      inventory,
      new PoolSizingTask(
        configuration, new PoolStateCollector(configuration, jobs, roster, inventory, new PoolCapacity(roster, inventory)), roster, new DemandPoolSizingPolicy(), inventory, control, reservations, bounds, term, onLost, isViewCurrent, clock, this._metrics, log
      ),
      new WaveTask(configuration, book, roster, writer, inventory, control, board, reservations, bounds, term, onLost, isAdopted, clock, log)
    ]
  }

  override ownerStopped (): void {
    this._decisions.jobTable.observer = null
  }

  private _supervisor (name: string): Supervisor {
    return new Supervisor(name, this._clock, this._observer)
  }
}
