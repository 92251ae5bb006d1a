/**
 * Composition root of the tasks that run while this process owns the journal.
 */
import { InventoryTask } from '../capacity/inventory-task.js'
import type { FleetVirtualMachineControl } from '../capacity/fleet-virtual-machine-control.js'
import { VirtualMachineCordons } from '../capacity/virtual-machine-cordons.js'
import { VirtualMachineLocks } from '../capacity/virtual-machine-locks.js'
import { VirtualMachineMoves } from '../capacity/virtual-machine-moves.js'
import { UsefulnessSizingPolicy } from '../capacity/usefulness-sizing-policy.js'
import { PoolStateCollector } from '../capacity/pool-state-collector.js'
import { MoveCandidates } from '../capacity/move-candidates.js'
import { OrderRefusals } from '../capacity/order-refusals.js'
import { PoolCapacity } from '../capacity/pool-capacity.js'
import { PoolSizingTask } from '../capacity/pool-sizing-task.js'
import { EvacuationTask } from '../capacity/evacuation-task.js'
import { ListedWorkerEnds } from '../capacity/listed-worker-ends.js'
import { WaveProgressJournal } from '../capacity/wave-progress-journal.js'
import { WaveTask } from '../capacity/wave-task.js'
import { WorkerListings } from '../capacity/worker-listings.js'
import type { Observability } from '../observability/observability.js'
import { OwnerFactory } from '../ownership/owner-factory.js'
import type { TermClaim } from '../ownership/term-claim.js'
import { HttpWorkerConnector } from '../platform/http-worker-connector.js'
import { KeyedTopic } from '../platform/keyed-topic.js'
import { TopicWaveStatusPublisher } from '../platform/topic-wave-status-publisher.js'
import { TopicFeed } from '../platform/topic-feed.js'
import { WorkerCodec } from '../platform/worker-codec.js'
import { TakeoverTask } from '../takeover/takeover-task.js'
import { AdviceTask } from '../placement/advice-task.js'
import { AttemptBudget } from '../scheduling/attempt-budget.js'
import { DecisionWriterTask } from '../scheduling/decision-writer-task.js'
import { FleetSchedule } from '../scheduling/fleet-schedule.js'
import { OrderFences } from '../leases/order-fences.js'
import { OwnerPace } from '../scheduling/owner-pace.js'
import { OutcomeRetentionTask } from '../scheduling/outcome-retention-task.js'
import { ScheduledJobTable } from '../scheduling/scheduled-job-table.js'
import { FillerThrottlingTask } from '../scheduling/filler-throttling-task.js'
import { LongestWaitTurns } from '../placement/longest-wait-turns.js'
import { PlacementTask } from '../placement/placement-task.js'
import { StepRanking } from '../placement/step-ranking.js'
import { WorkerReconciler } from '../workers/worker-reconciler.js'
import { ResourceReservations } from '../placement/resource-reservations.js'
import { RunLogTask } from '../runs/run-log-task.js'
import { StartOutcomeHandler } from '../runs/start-outcome-handler.js'
import { StartRunTask } from '../runs/start-run-task.js'
import { StopRunTask } from '../runs/stop-run-task.js'
import { SupervisedRunOrderDispatcher } from '../runs/supervised-run-order-dispatcher.js'
import { TeamUsage } from '../placement/team-usage.js'
import { UrgencyPlacementPolicy } from '../placement/urgency-placement-policy.js'
import { WorkerRegistryFollowerTask } from '../workers/worker-registry-follower-task.js'
import { InheritedLeases } from '../leases/inherited-leases.js'
import { InheritedPlacements } from '../takeover/inherited-placements.js'
import { LateStartEnds } from '../workers/late-start-ends.js'
import { LeaseBounds } from '../leases/lease-bounds.js'
import { LostWorkerDetector } from '../workers/lost-worker-detector.js'
import { LeaseRenewalPermit } from '../leases/lease-renewal-permit.js'
import { LeaseRenewalTask } from '../leases/lease-renewal-task.js'
import { CrashVerdicts } from '../crashes/crash-verdicts.js'
import { EvidentAttributionPolicy } from '../crashes/evident-attribution-policy.js'
import { RecentStartAttributionPolicy } from '../crashes/recent-start-attribution-policy.js'
import { ShareCoincidencePolicy } from '../crashes/share-coincidence-policy.js'
import { UnknownWorkerEnds } from '../workers/unknown-worker-ends.js'
import { UnsettledStarts } from '../takeover/unsettled-starts.js'
import { WorkerLossHandler } from '../workers/worker-loss-handler.js'
import { DecayingWorkerHealthPolicy } from '../worker-health/decaying-worker-health-policy.js'
import { HealthWorkerSelection } from '../worker-health/health-worker-selection.js'
import { ListedVirtualMachines } from '../worker-health/listed-virtual-machines.js'
import { UnknownVirtualMachines } from '../worker-health/unknown-virtual-machines.js'
import { WorkerHealthTask } from '../worker-health/worker-health-task.js'
import { WorkerTable } from '../workers/worker-table.js'
import { WorkingSet } from '../placement/working-set.js'
import { CopyCandidates } from '../speculation/copy-candidates.js'
import { CopyPlacement } from '../speculation/copy-placement.js'
import { RunDurations } from '../speculation/run-durations.js'
import { TailSpeculationPolicy } from '../speculation/tail-speculation-policy.js'
import { TaskCopies } from '../speculation/task-copies.js'
import type { FleetTimings } from '../scheduling/fleet-timings.js'
import { Supervisor } from '../supervision/supervisor.js'
import type { Task } from '../supervision/task.js'
import type { JournalView } from './journal-view.js'
import type { OwnerProcess } from './owner-process.js'
import type { PlatformClients } from './platform-clients.js'

/** Topic of the worker registry. */
const WORKER_TOPIC = 'keyed.servers'

/** Age of the view of the journals and of the configuration above which no VM is moved. */
const MAXIMUM_VIEW_AGE_MILLISECONDS = 2_000

/** Lease requested from workers: it outlasts a change of owner; the tasks of a lost worker are restarted only after it expires. */
const LEASE_MILLISECONDS = 5_000

/** Largest fraction of the longest lease that is requested, so that the speed of a worker's clock never shortens the lease. */
const MAXIMUM_LEASE_FRACTION = 0.85

/** Topic to which the owner writes the states of waves for operators. */
const STATUS_TOPIC = 'keyed.status'

/** Builds the owner's tree for each term. */
export class OwnerTreeFactory extends OwnerFactory {
  constructor (
    private readonly _process: OwnerProcess, private readonly _platform: PlatformClients, private readonly _journalView: JournalView, private readonly _observability: Observability
  ) {
    super()
  }

  override create (term: number, claim: TermClaim, onLost: (cause: string) => void): Supervisor {
    const { holder, load, random } = this._process
    const { dialer, store, virtualMachineControl, advisor } = this._platform
    const { decisionJournal, decisions, submissionWriter, configuration, fleetTime } = this._journalView
    const { clock, metrics, log } = this._observability
    const { jobTable } = decisions
    const { bounds: timings, limits } = this._process.settings()
    const { earlierOwners } = claim
    const leaseMilliseconds = Math.min(LEASE_MILLISECONDS, timings.maximumLeaseMilliseconds * MAXIMUM_LEASE_FRACTION)
    const pace = new OwnerPace(load)
    const leaseRenewals = this._createSupervisor('holds')
    const orders = this._createSupervisor('orders')
    const permit = new LeaseRenewalPermit(term, holder, earlierOwners, (): WorkerTable => workerTable, fleetTime, clock, log)
    const unsettledStarts = new UnsettledStarts(jobTable.settledStarts)
    const writer = new DecisionWriterTask(decisionJournal, decisions, term, claim.sentAt, holder, permit, unsettledStarts, fleetTime, onLost, clock, random, metrics)
    const dispatcher: SupervisedRunOrderDispatcher = new SupervisedRunOrderDispatcher(
      orders,
      (task, worker) => new StartRunTask(task, worker, advice, outcomes, dispatcher, pace, onLost, clock, metrics),
      (worker, task, run) => new StopRunTask(worker, task, run, outcomes, onLost, clock, random, log)
    )
    const advice: AdviceTask = new AdviceTask(advisor, () => schedule.markChanged(), clock, metrics, log)
    const workerTable: WorkerTable = new WorkerTable(configuration, new InheritedLeases(leaseMilliseconds, timings, earlierOwners, clock, log), earlierOwners, () => writer.renewTerm(), () => permit.revoke(), () => workerRegistry.freshAt, clock, log)
    const scheduledJobs = new ScheduledJobTable()
    const reservations = new ResourceReservations(new TeamUsage(configuration))
    const attribution = new EvidentAttributionPolicy(new RecentStartAttributionPolicy(), new ShareCoincidencePolicy(), () => workerTable, clock, log)
    const copies = new TaskCopies(new RunDurations(), clock, metrics)
    const schedule: FleetSchedule = new FleetSchedule(new AttemptBudget(configuration), copies, writer, dispatcher, scheduledJobs, workerTable, reservations, unsettledStarts, new InheritedPlacements(workerTable, reservations, unsettledStarts, attribution, timings.maximumCallDelayMilliseconds, fleetTime, clock), fleetTime, this._observability)
    const runLog = new RunLogTask(this._observability)
    const listings = new WorkerListings(workerTable, pool => configuration.pool(pool)?.isStandby === true, log)
    const inventory = virtualMachineControl && new InventoryTask(virtualMachineControl, listings, clock, log)
    const health = new WorkerHealthTask(new DecayingWorkerHealthPolicy(), inventory ? new ListedVirtualMachines(inventory) : new UnknownVirtualMachines(), workerTable, clock, metrics, log)
    const outcomes = new StartOutcomeHandler(schedule, scheduledJobs, workerTable, health.history, clock, metrics, log)
    const leaseBounds = new LeaseBounds(jobTable, writer, term, fleetTime, log)
    const losses = new WorkerLossHandler(schedule, scheduledJobs, leaseBounds, attribution, health.history, () => workerRegistry.freshAt, fleetTime, clock, metrics, log)
    const reconciler = new WorkerReconciler(schedule, scheduledJobs, workerTable, dispatcher, losses, runLog, health.history, clock, metrics, log)
    const workerFeed = new TopicFeed(new KeyedTopic(store, WORKER_TOPIC, clock, log), record => WorkerCodec.decode(record), log)
    const workerRegistry: WorkerRegistryFollowerTask = new WorkerRegistryFollowerTask(
      workerTable, reconciler, leaseRenewals, new HttpWorkerConnector(dialer), new OrderFences(term, timings.maximumCallDelayMilliseconds),
      worker => new LeaseRenewalTask(worker, losses, workerTable, reconciler, writer, leaseBounds, permit, leaseMilliseconds, pace, onLost, clock, random, metrics, log),
      workerFeed, clock, random, metrics, log
    )
    const ends = inventory ? new ListedWorkerEnds(listings, inventory) : new UnknownWorkerEnds()
    const lostWorkers = new LostWorkerDetector(workerTable, ends, leaseBounds, losses, new LateStartEnds(workerTable, ends, fleetTime, this._observability))
    const placementFleet = { workers: workerTable, reservations, lostWorkers, unsettledStarts }
    const placementRules = { ranking: new StepRanking(configuration, reservations.teamUsage), policy: new UrgencyPlacementPolicy(), turns: new LongestWaitTurns(), selection: new HealthWorkerSelection(health.history.failedTasks), configuration, advice }
    const speculationPolicy = new TailSpeculationPolicy()
    const copyCandidates = new CopyCandidates(scheduledJobs, configuration, reservations.teamUsage, copies.durations, speculationPolicy)
    const placement = new PlacementTask(
      { schedule, table: scheduledJobs, workingSet: new WorkingSet(scheduledJobs, limits.maximumBacklogTasks, metrics), verdicts: new CrashVerdicts(attribution, schedule, scheduledJobs, clock, log) },
      placementFleet,
      placementRules,
      { pace, viewFreshAt: () => this._viewFreshAt() },
      new CopyPlacement(copyCandidates, speculationPolicy, schedule, placementFleet, placementRules, () => this._process.settings().limits.copiesSlowTasks, this._observability),
      runLog,
      this._observability
    )
    const takeover = new TakeoverTask(jobTable, workerRegistry, workerTable, leaseBounds, unsettledStarts, schedule, losses, placement, clock, log)

    const owner = this._createSupervisor('owner')
    // Children stop in reverse order: placement before the writer, and the writer before the orders that follow from its last decisions.
    for (const child of [
      runLog, orders, writer, leaseRenewals, workerRegistry, advice, takeover,
      new OutcomeRetentionTask(jobTable, scheduledJobs, writer, submissionWriter, timings.statusRetentionMilliseconds, clock),
      new EvacuationTask(schedule, workerTable, timings.maximumStopMilliseconds, clock, log), health, new FillerThrottlingTask(workerTable, clock, random, metrics, log)
    ]) owner.add(child)
    if (virtualMachineControl && inventory) for (const child of this._capacityTasks(virtualMachineControl, inventory, scheduledJobs, reservations.teamUsage, workerTable, writer, takeover, timings, term, claim, onLost)) owner.add(child)
    return owner
  }

  /** Moment (epoch milliseconds) as of which decisions, submissions and the configuration were all known to be up to date. */
  private _viewFreshAt (): number {
    const { decisions, submissions, configuration } = this._journalView
    return Math.min(decisions.freshAt, submissions.freshAt, configuration.freshAt)
  }

  /** Tasks that move VMs between pools and carry out maintenance waves. */
  private _capacityTasks (
    control: FleetVirtualMachineControl, inventory: InventoryTask, scheduledJobs: ScheduledJobTable, teamUsage: TeamUsage, workerTable: WorkerTable, writer: DecisionWriterTask, takeover: TakeoverTask, timings: FleetTimings, term: number,
    claim: TermClaim, onLost: (cause: string) => void
  ): Task[] {
    const { configuration, fleetTime, decisions: { jobTable } } = this._journalView
    const { clock, metrics, log } = this._observability
    const locks = new VirtualMachineLocks(jobTable, writer, term, claim.earlierOwners.lastContactAt, timings.holderChangeMilliseconds, new VirtualMachineCordons(workerTable, inventory, clock), fleetTime, clock)
    const statusPublisher = new TopicWaveStatusPublisher(new KeyedTopic(this._platform.store, STATUS_TOPIC, clock, log))
    const isTakeoverDone = (): boolean => takeover.isDone
    const isViewCurrent = (): boolean => isTakeoverDone() && this._viewFreshAt() > clock.now() - MAXIMUM_VIEW_AGE_MILLISECONDS
    const moves = new VirtualMachineMoves(control, inventory, locks, { number: term, timings, onFenced: onLost, isViewCurrent }, clock, metrics, log)
    return [
      inventory,
      new PoolSizingTask(
        configuration, new PoolStateCollector(configuration, scheduledJobs, teamUsage, workerTable, inventory, new PoolCapacity(workerTable, inventory)), new UsefulnessSizingPolicy(),
        new MoveCandidates(configuration, workerTable, inventory, locks, moves), moves, inventory, locks, { ordersPerSecond: this._process.settings().platform.ordersPerSecond, timings }, isViewCurrent, clock, metrics, log
      ),
      new WaveTask(configuration, new WaveProgressJournal(jobTable, writer), workerTable, new OrderRefusals(clock), inventory, control, statusPublisher, locks, timings, term, onLost, isTakeoverDone, clock, log)
    ]
  }

  override ownerStopped (): void {
    this._journalView.decisions.jobTable.observer = null
  }

  private _createSupervisor (name: string): Supervisor {
    return new Supervisor(name, this._observability.clock, this._process.supervisorObserver)
  }
}
