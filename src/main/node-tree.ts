/**
 * Composition root of the node daemon.
 */
import { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import { BacklogAdmission } from '../admission/backlog-admission.js'
import { BacklogServabilityPolicy } from '../admission/backlog-servability-policy.js'
import { RetryTimes } from '../admission/retry-times.js'
import { ServableAdmission } from '../admission/servable-admission.js'
import { ClientGuard } from '../http/client-guard.js'
import { ClientGuardTask } from '../http/client-guard-task.js'
import { clientLimits } from '../http/client-limits.js'
import { ClientRefusals } from '../http/client-refusals.js'
import { StalledFirstEvictionPolicy } from '../http/stalled-first-eviction-policy.js'
import { FleetTime } from '../jobs/fleet-time.js'
import { JobTable } from '../jobs/job-table.js'
import { JobService } from '../jobs/job-service.js'
import { JournalFollowerTask } from '../jobs/journal-follower-task.js'
import { SubmissionWriterTask } from '../jobs/submission-writer-task.js'
import type { DecisionLog } from '../observability/decision-log.js'
import { DecisionLogSupervisorObserver } from '../observability/decision-log-supervisor-observer.js'
import { MetricsServerTask } from '../observability/metrics-server-task.js'
import type { Metrics } from '../observability/metrics.js'
import type { ProcessorLoad } from '../observability/processor-load.js'
import type { PrometheusMetrics } from '../observability/prometheus-metrics.js'
import { ownerResourceShortfall } from '../ownership/owner-resource-shortfall.js'
import { HolderEndTask } from '../ownership/holder-end-task.js'
import { OwnershipTask } from '../ownership/ownership-task.js'
import type { TermHolder } from '../ownership/term-holder.js'
import { TermTask } from '../ownership/term-task.js'
import type { CallClient } from '../platform/call-client.js'
import type { Dialer } from '../platform/dialer.js'
import { FrontEndServerTask } from '../platform/front-end-server-task.js'
import { HttpAdvisor } from '../platform/http-advisor.js'
import { HttpFleetVirtualMachineControl } from '../platform/http-fleet-virtual-machine-control.js'
import { KeyedTopic } from '../platform/keyed-topic.js'
import { OperatorCodec } from '../platform/operator-codec.js'
import { TopicFeed } from '../platform/topic-feed.js'
import { TopicJournal } from '../platform/topic-journal.js'
import type { NodeSettings } from '../settings/node-settings.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Supervisor } from '../supervision/supervisor.js'
import type { Task } from '../supervision/task.js'
import { OwnerTreeFactory } from './owner-tree-factory.js'

/** Connections to the store: long polls for the configuration, both journals and, in the owner, the workers; two writers; and short requests. */
const MAXIMUM_STORE_CONNECTIONS = 8

/** Connections to the platform's VM interface: listings and a few concurrent orders. */
const MAXIMUM_VIRTUAL_MACHINE_CONNECTIONS = 4

/** Bound of the random suffix of a holder's name, which makes each incarnation of a process another holder. */
const HOLDER_SUFFIX_BOUND = 2 ** 20

/** Topic to which any process writes submissions and cancellations. It is separate from the decisions, so that load on it never delays an owner. */
const SUBMISSION_TOPIC = 'keyed.jobs'

/** Topic to which the owner writes its decisions. */
const DECISION_TOPIC = 'keyed.decisions'

/** Topic to which operators publish the configuration and their orders. */
const OPERATOR_TOPIC = 'keyed.op'

/** Age of the view above which the process reports that it isn't ready: new jobs are refused from 1.5 s on, and without new records the view is up to 1.1 s old. */
const MAXIMUM_READY_VIEW_AGE_MILLISECONDS = 1_600

/** Size limit of request bodies until a configuration is loaded. */
const DEFAULT_MAXIMUM_BODY_BYTES = 262_144

/** Constructs and connects everything that lives as long as the node daemon; `OwnerTreeFactory` does so for the tree of a term. */
export class NodeTree {
  readonly configuration: ConfigurationFollowerTask
  readonly decisions: JournalFollowerTask
  readonly submissions: JournalFollowerTask
  /** Job interface for front ends. */
  readonly service: JobService
  private readonly _supervisorObserver: DecisionLogSupervisorObserver
  private readonly _holder: TermHolder
  private _stopRequestedAt = Infinity
  private readonly _storeClient: CallClient
  private readonly _decisionJournal: TopicJournal
  private readonly _submissionJournal: TopicJournal
  private readonly _submissionWriter: SubmissionWriterTask
  private readonly _fleetTime: FleetTime

  constructor (
    private _settings: NodeSettings, private readonly _dialer: Dialer, private readonly _clock: Clock, private readonly _random: RandomSource,
    private readonly _metrics: Metrics, private readonly _log: DecisionLog, private readonly _load: ProcessorLoad
  ) {
    this._holder = { name: `${_settings.process.id}-${Math.round(_clock.now())}-${_random.integer(HOLDER_SUFFIX_BOUND)}`, process: _settings.process.id }
    this._supervisorObserver = new DecisionLogSupervisorObserver(_log, _metrics)
    this._storeClient = _dialer.dial(_settings.platform.store, MAXIMUM_STORE_CONNECTIONS)
    this._decisionJournal = new TopicJournal(new KeyedTopic(this._storeClient, DECISION_TOPIC, _clock, _log), _log)
    this._submissionJournal = new TopicJournal(new KeyedTopic(this._storeClient, SUBMISSION_TOPIC, _clock, _log), _log)
    const operatorFeed = new TopicFeed(new KeyedTopic(this._storeClient, OPERATOR_TOPIC, _clock, _log), record => OperatorCodec.decode(record), _log)
    this.configuration = new ConfigurationFollowerTask(operatorFeed, _clock, _random, _metrics, _log)
    const jobTable = new JobTable(_clock)
    this._fleetTime = new FleetTime(_clock, this._holder.name)
    this.decisions = new JournalFollowerTask('decisions', jobTable, this._fleetTime, this._decisionJournal, _clock, _random, _metrics, _log)
    this.submissions = new JournalFollowerTask('submissions', jobTable, this._fleetTime, this._submissionJournal, _clock, _random, _metrics, _log)
    this._submissionWriter = new SubmissionWriterTask(this._submissionJournal, _clock, _random, _metrics)
    this.service = this._createService(jobTable)
  }

  /** Whether the process can serve: it isn't stopping, has a configuration, and its view of the store is current. */
  get isReady (): boolean {
    const viewFreshAt = Math.min(this.configuration.freshAt, this.decisions.freshAt, this.submissions.freshAt)
    return this._stopRequestedAt === Infinity && this.configuration.configuration !== null && viewFreshAt > this._clock.now() - MAXIMUM_READY_VIEW_AGE_MILLISECONDS
  }

  /** Makes the process report immediately that it isn't ready, so that the load balancer learns of the stop whichever task stops first. */
  beginStop (): void {
    this._stopRequestedAt = Math.min(this._stopRequestedAt, this._clock.now())
  }

  /** Replaces the settings; the owner's tree applies them from its next term on. */
  reload (settings: NodeSettings): void {
    this._settings = settings
  }

  /** Builds the tree with its servers and the task that measures the load. */
  buildRoot (metrics: PrometheusMetrics, loadMonitor: Task): Supervisor {
    const { listen } = this._settings
    const guard = this._createClientGuard()
    const requests = this._createSupervisor('requests')
    const maximumBodyBytes = (): number => this.configuration.configuration?.maximumBodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES
    const frontEndServer = new FrontEndServerTask(
      listen.callers, listen.readiness, requests, this.service, () => this.isReady, () => Math.min(this._stopRequestedAt, this._clock.now()), maximumBodyBytes, guard, this._clock
    )
    const root = this._createSupervisor('root')
    // Children stop in reverse order: ownership is released before the front end closes its connections.
    for (const child of [new ClientGuardTask(guard, this._clock), new MetricsServerTask(listen.metrics, metrics, guard), loadMonitor, ...this._viewTasks(), requests, frontEndServer, ...this._ownershipTasks()]) root.add(child)
    return root
  }

  /** Builds the tree without servers, for other front ends. */
  buildWithoutServers (): Supervisor {
    const root = this._createSupervisor('root')
    for (const child of [...this._viewTasks(), ...this._ownershipTasks()]) root.add(child)
    return root
  }

  private _createService (jobTable: JobTable): JobService {
    const { configuration, submissions, decisions, _submissionJournal: submissionJournal, _submissionWriter: writer, _fleetTime: fleetTime, _clock: clock, _metrics: metrics } = this
    const retryTimes = new RetryTimes(this._random)
    const journal = { submissionJournal, submissions, decisions, writer, fleetTime }
    const servability = new ServableAdmission(new BacklogServabilityPolicy(), configuration, journal, retryTimes, () => this._settings.limits.refusesUnservableJobs, clock, metrics)
    const backlog = new BacklogAdmission(jobTable, configuration, this._settings.limits.maximumBacklogTasks, clock)
    return new JobService(configuration, journal, { servability, backlog, retryTimes }, clock, metrics, this._log)
  }

  private _createClientGuard (): ClientGuard {
    const { _settings: { clients, machine }, _clock: clock, _metrics: metrics, _log: log } = this
    const refusals = new ClientRefusals(metrics, ({ reasons, exampleAddress }) => log.emit('clients refused', { reasons, exampleAddress }))
    return new ClientGuard(clientLimits(clients, machine), new StalledFirstEvictionPolicy(), refusals, clock)
  }

  /** Tasks of every process: they follow the configuration and the journals, and write submissions. */
  private _viewTasks (): Task[] {
    return [this.configuration, this.decisions, this.submissions, this._submissionWriter]
  }

  /** Tasks by which the process claims terms and runs the owner's tree. */
  private _ownershipTasks (): Task[] {
    const { _clock: clock, _random: random, _log: log, decisions, submissions } = this
    const terms = this._createSupervisor('terms')
    const ownerFactory = this._createOwnerFactory()
    const createTerm = (): Task => new TermTask(this._holder, this._decisionJournal, decisions, this._submissionJournal, submissions, ownerFactory, this._fleetTime, clock, random, log)
    return [new HolderEndTask(this._holder, decisions, this._submissionWriter, clock, log), terms, new OwnershipTask(this._holder, decisions, submissions, terms, createTerm, ownerResourceShortfall(this._settings.machine), this._fleetTime, clock, random, log)]
  }

  private _createOwnerFactory (): OwnerTreeFactory {
    const { _settings: { platform, process }, _dialer: dialer, decisions, submissions, configuration } = this
    const virtualMachineControl = platform.machines === '' ? null : new HttpFleetVirtualMachineControl(dialer.dial(platform.machines, MAXIMUM_VIRTUAL_MACHINE_CONNECTIONS), process.id)
    const advisor = platform.advice === '' ? null : new HttpAdvisor(dialer.dial(platform.advice, 1))
    return new OwnerTreeFactory(
      { settings: () => this._settings, holder: this._holder, load: this._load, random: this._random, supervisorObserver: this._supervisorObserver },
      { dialer, store: this._storeClient, virtualMachineControl, advisor },
      { decisionJournal: this._decisionJournal, decisions, submissions, submissionWriter: this._submissionWriter, configuration, fleetTime: this._fleetTime },
      { clock: this._clock, metrics: this._metrics, log: this._log }
    )
  }

  private _createSupervisor (name: string): Supervisor {
    return new Supervisor(name, this._clock, this._supervisorObserver)
  }
}
