/**
 * Composition root of the tasks that run while this process owns the journal.
 */
import { DemandPoolSizing } from '../capacity/demand-pool-sizing.js'
import { InventoryTask } from '../capacity/inventory-task.js'
import type { MachineControl } from '../capacity/machine-control.js'
import { MachineReservations } from '../capacity/machine-reservations.js'
import { PoolSituations } from '../capacity/pool-situations.js'
import { PoolStrength } from '../capacity/pool-strength.js'
import { PoolSizingTask } from '../capacity/pool-sizing-task.js'
import { VacatingTask } from '../capacity/vacating-task.js'
import { WaveTask } from '../capacity/wave-task.js'
import type { ConfigurationTask } from '../configuration/configuration-task.js'
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
import { StatusWaveBoard } from '../platform/status-wave-board.js'
import { TopicFeed } from '../platform/topic-feed.js'
import { WorkerCodec } from '../platform/worker-codec.js'
import { AdoptionTask } from '../scheduling/adoption-task.js'
import { AdviceTask } from '../scheduling/advice-task.js'
import type { Advisor } from '../scheduling/advisor.js'
import { DecisionWriterTask } from '../scheduling/decision-writer-task.js'
import { FleetSchedule } from '../scheduling/fleet-schedule.js'
import { OutcomeTask } from '../scheduling/outcome-task.js'
import { JobRegister } from '../scheduling/job-register.js'
import { PaceTask } from '../scheduling/pace-task.js'
import { PlacementTask } from '../scheduling/placement-task.js'
import { ReportReader } from '../scheduling/report-reader.js'
import { RoomBook } from '../scheduling/room-book.js'
import { StartRunTask } from '../scheduling/start-run-task.js'
import { StopRunTask } from '../scheduling/stop-run-task.js'
import { SupervisedRunOrders } from '../scheduling/supervised-run-orders.js'
import { TeamUsage } from '../scheduling/team-usage.js'
import { UrgencyPlacement } from '../scheduling/urgency-placement.js'
import { WorkerDirectoryTask } from '../scheduling/worker-directory-task.js'
import { WorkerHoldTask } from '../scheduling/worker-hold-task.js'
import { WorkerRoster } from '../scheduling/worker-roster.js'
import type { LeaseSettings } from '../scheduling/lease-settings.js'
import type { NodeSettings } from '../settings/node-settings.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Supervisor } from '../supervision/supervisor.js'
import type { SupervisorObserver } from '../supervision/supervisor-observer.js'
import type { Task } from '../supervision/task.js'

/** Topic of the worker registry. */
const WORKER_TOPIC = 'keyed.servers'

/** Age of the view of the journals and of the configuration above which no VM is moved. */
const MAXIMUM_VIEW_AGE_MILLISECONDS = 2_000

/** Lease requested from workers: it outlasts a change of owner; the tasks of a lost worker are restarted only after it expires. */
const LEASE_MILLISECONDS = 5_000

/** How long an owner without contact to the store goes on extending leases: together with the lease this bridges an outage of nine seconds. */
const LEASE_EXTENSION_MILLISECONDS = 6_000

/** Largest fraction of the longest lease that is requested, so that the speed of a worker's clock never shortens the lease. */
const MAXIMUM_LEASE_FRACTION = 0.85

/** Topic to which the owner writes the states of waves for operators. */
const STATUS_TOPIC = 'keyed.status'

/** Builds the owner's tree for each term. */
export class OwnerTree extends OwnerFactory {
  constructor (
    private readonly _settings: () => NodeSettings, private readonly _holder: string, private readonly _dialer: Dialer, private readonly _storeClient: CallClient,
    private readonly _virtualMachineControl: MachineControl | null, private readonly _advisor: Advisor | null,
    private readonly _decisionJournal: JobJournal, private readonly _decisions: JournalFollowerTask, private readonly _submissions: JournalFollowerTask,
    private readonly _submissionWriter: SubmissionWriterTask, private readonly _configuration: ConfigurationTask, private readonly _supervisorObserver: SupervisorObserver,
    private readonly _clock: Clock, private readonly _random: RandomSource, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {
    super()
  }

  override create (term: number, claim: TermClaim, onLost: (cause: string) => void): Supervisor {
    const { _clock: clock, _random: random, _metrics: metrics, _log: log, _configuration: configuration, _decisions: { book: jobTable } } = this
    const { bounds } = this._settings()
    const lease = { milliseconds: Math.min(LEASE_MILLISECONDS, bounds.maximumLeaseMilliseconds * MAXIMUM_LEASE_FRACTION), extensionMilliseconds: LEASE_EXTENSION_MILLISECONDS }
    const leaseRenewals = this._createSupervisor('holds')
    const orders = this._createSupervisor('orders')
    const writer = new DecisionWriterTask(this._decisionJournal, jobTable, term, claim.sentAt, this._holder, onLost, clock, random, metrics)
    const runOrders: SupervisedRunOrders = new SupervisedRunOrders(
      orders,
      (task, worker) => new StartRunTask(task, worker, advice, schedule, runOrders, onLost, clock, metrics),
      (worker, task, run) => new StopRunTask(worker, task, run, schedule, onLost, clock, random, log)
    )
    const advice: AdviceTask = new AdviceTask(this._advisor, () => schedule.touch(), clock, metrics, log)
    const workerTable = new WorkerRoster(configuration, lease, claim.isHandover ? clock.now() : claim.predecessorHeardAt + LEASE_EXTENSION_MILLISECONDS, clock, log)
    const scheduledJobs = new JobRegister()
    const reservations = new RoomBook(new TeamUsage(configuration))
    const schedule: FleetSchedule = new FleetSchedule(configuration, writer, runOrders, scheduledJobs, workerTable, reservations, clock, metrics, log)
    const reportReader = new ReportReader(schedule, scheduledJobs, workerTable, runOrders, clock, metrics, log)
    const workerFeed = new TopicFeed(new KeyedTopic(this._storeClient, WORKER_TOPIC, clock), record => WorkerCodec.decode(record))
    const directory = new WorkerDirectoryTask(
      workerTable, reportReader, leaseRenewals, new HttpWorkerConnector(this._dialer), term,
      worker => new WorkerHoldTask(worker, schedule, workerTable, reportReader, writer, lease, onLost, clock, random, metrics, log),
      workerFeed, clock, random, metrics, log
    )
    const placement = new PlacementTask(
      schedule, scheduledJobs, workerTable, reservations, new UrgencyPlacement(configuration, reservations.usage), advice, configuration,
      () => this._viewFreshAt(), clock, metrics, log
    )
    const adoption = new AdoptionTask(jobTable, directory, schedule, placement, clock)

    const owner = this._createSupervisor('owner')
    // Children stop in reverse order: placement before the writer, and the writer before the orders that follow from its last decisions.
    for (const child of [
      orders, writer, leaseRenewals, directory, advice, adoption,
      new OutcomeTask(jobTable, scheduledJobs, writer, this._submissionWriter, bounds.statusRetentionMilliseconds, clock),
      new VacatingTask(schedule, workerTable, clock), new PaceTask(workerTable, clock, random, metrics, log)
    ]) owner.add(child)
    if (this._virtualMachineControl) for (const child of this._capacityTasks(this._virtualMachineControl, scheduledJobs, workerTable, writer, adoption, bounds, term, onLost)) owner.add(child)
    return owner
  }

  /** Moment (epoch milliseconds) as of which decisions, submissions and the configuration were all known to be up to date. */
  private _viewFreshAt (): number {
    return Math.min(this._decisions.freshAt, this._submissions.freshAt, this._configuration.freshAt)
  }

  /** Tasks that move VMs between pools and carry out maintenance waves. */
  private _capacityTasks (
    control: MachineControl, scheduledJobs: JobRegister, workerTable: WorkerRoster, writer: DecisionWriterTask, adoption: AdoptionTask, bounds: LeaseSettings, term: number,
    onLost: (cause: string) => void
  ): Task[] {
    const { _clock: clock, _log: log, _configuration: configuration, _decisions: { book: jobTable } } = this
    const inventory = new InventoryTask(control, clock, log)
    const virtualMachineReservations = new MachineReservations(jobTable, writer, term, bounds.holderChangeMilliseconds, clock)
    const statusPublisher = new StatusWaveBoard(new KeyedTopic(this._storeClient, STATUS_TOPIC, clock))
    const isAdopted = (): boolean => adoption.isDone
    const isViewCurrent = (): boolean => isAdopted() && this._viewFreshAt() > clock.now() - MAXIMUM_VIEW_AGE_MILLISECONDS
    return [
      inventory,
      new PoolSizingTask(
        configuration, new PoolSituations(configuration, scheduledJobs, workerTable, inventory, new PoolStrength(workerTable, inventory)), workerTable, new DemandPoolSizing(),
        inventory, control, virtualMachineReservations, bounds, term, onLost, isViewCurrent, clock, this._metrics, log
      ),
      new WaveTask(configuration, jobTable, workerTable, writer, inventory, control, statusPublisher, virtualMachineReservations, bounds, term, onLost, isAdopted, clock, log)
    ]
  }

  override ended (): void {
    this._decisions.book.observer = null
  }

  private _createSupervisor (name: string): Supervisor {
    return new Supervisor(name, this._clock, this._supervisorObserver)
  }
}
