/**
 * Builds everything that lives as long as the node daemon.
 */
import { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import { JobTable } from '../jobs/job-table.js'
import { JobService } from '../jobs/job-service.js'
import { JournalFollowerTask } from '../jobs/journal-follower-task.js'
import { SubmissionWriterTask } from '../jobs/submission-writer-task.js'
import type { DecisionLog } from '../observability/decision-log.js'
import { DecisionLogSupervisorObserver } from '../observability/decision-log-supervisor-observer.js'
import { MetricsServerTask } from '../observability/metrics-server-task.js'
import type { Metrics } from '../observability/metrics.js'
import type { PrometheusMetrics } from '../observability/prometheus-metrics.js'
import { ownerResourceShortfall } from '../ownership/owner-resource-shortfall.js'
import { OwnershipTask } from '../ownership/ownership-task.js'
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

/** Connections to the store: three long polls, two writers, the group, and lookups. */
const STORE_CONNECTIONS = 8

/** Connections to the machines' interface: lists and a few orders at once. */
const MACHINE_CONNECTIONS = 4

/** Part of a holder's name that is drawn, so that each life of a process is another holder. */
const HOLDER_VARIETY = 2 ** 20

/** Topic that any process writes submissions and cancellations to. Apart from the decisions, so that no load on it delays an owner. */
const SUBMISSION_TOPIC = 'keyed.jobs'

/** Topic of the owner's decisions. */
const DECISION_TOPIC = 'keyed.decisions'

/** Topic of what operators publish. */
const OPERATOR_TOPIC = 'keyed.op'

/** Age of the view beyond which the process says that it isn't ready, in milliseconds: it refuses new jobs from 1.5 s on, and a quiet view is up to 1.1 s old. */
const READY_VIEW_AGE_MILLISECONDS = 1_600

/** Largest body before there is a configuration, in bytes. */
const DEFAULT_BODY_BYTES = 262_144

/** The construction module of the node daemon; `OwnerTree` is its part for the owner. */
export class NodeTree {
  readonly configuration: ConfigurationFollowerTask
  readonly decisions: JournalFollowerTask
  readonly submissions: JournalFollowerTask
  /** What front ends call. */
  readonly service: JobService
  private readonly _observer: DecisionLogSupervisorObserver
  private readonly _holder: string
  private _stopRequestedAt = Infinity
  private readonly _store: CallClient
  private readonly _decided: TopicJournal
  private readonly _submitted: TopicJournal
  private readonly _writer: SubmissionWriterTask

  constructor (
    private _settings: NodeSettings, private readonly _dialer: Dialer, private readonly _clock: Clock, private readonly _random: RandomSource,
    private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {
    this._holder = `${_settings.process.id}-${Math.round(_clock.now())}-${_random.integer(HOLDER_VARIETY)}`
    this._observer = new DecisionLogSupervisorObserver(_log, _metrics)
    this._store = _dialer.dial(_settings.platform.store, STORE_CONNECTIONS)
    this._decided = new TopicJournal(new KeyedTopic(this._store, DECISION_TOPIC, _clock))
    this._submitted = new TopicJournal(new KeyedTopic(this._store, SUBMISSION_TOPIC, _clock))
    const operators = new TopicFeed(new KeyedTopic(this._store, OPERATOR_TOPIC, _clock), record => OperatorCodec.decode(record))
    this.configuration = new ConfigurationFollowerTask(operators, _clock, _random, _metrics, _log)
    const book = new JobTable()
    this.decisions = new JournalFollowerTask('decisions', book, this._decided, _clock, _random, _metrics, _log)
    this.submissions = new JournalFollowerTask('submissions', book, this._submitted, _clock, _random, _metrics, _log)
    this._writer = new SubmissionWriterTask(this._submitted, _clock, _random, _metrics)
    this.service = new JobService(this.configuration, this._submitted, this.submissions, this.decisions, this._writer, _clock, _metrics, _log)
  }

  /** Whether the process can serve: it has a configuration and hears from the store. */
  get isReady (): boolean {
    const oldest = Math.min(this.configuration.freshAt, this.decisions.freshAt, this.submissions.freshAt)
    return this._stopRequestedAt === Infinity && this.configuration.configuration !== null && oldest > this._clock.now() - READY_VIEW_AGE_MILLISECONDS
  }

  /** The process is to stop: the balancer is told at once, whatever stops first. */
  beginStop (): void {
    this._stopRequestedAt = Math.min(this._stopRequestedAt, this._clock.now())
  }

  /** Puts changed settings in force; they hold for the next term. */
  reload (settings: NodeSettings): void {
    this._settings = settings
  }

  /** The whole tree, with its servers. */
  buildRoot (metrics: PrometheusMetrics): Supervisor {
    const { listen } = this._settings
    const requests = this._supervisor('requests')
    const maximumBodyBytes = (): number => this.configuration.configuration?.maximumBodyBytes ?? DEFAULT_BODY_BYTES
    const front = new FrontEndServerTask(listen.callers, listen.readiness, requests, this.service, () => this.isReady, () => Math.min(this._stopRequestedAt, this._clock.now()), maximumBodyBytes, this._clock)
    const root = this._supervisor('root')
    // The last child stops first: ownership is handed over before the front end takes leave of its callers.
    for (const child of [new MetricsServerTask(listen.metrics, metrics), ...this._views(), requests, front, ...this._ownership()]) root.add(child)
    return root
  }

  /** The tree without servers, for other front ends. */
  buildWithoutServers (): Supervisor {
    const root = this._supervisor('root')
    for (const child of [...this._views(), ...this._ownership()]) root.add(child)
    return root
  }

  /** What every process knows, and how it writes. */
  private _views (): Task[] {
    return [this.configuration, this.decisions, this.submissions, this._writer]
  }

  /** The process's part in owning the journal. */
  private _ownership (): Task[] {
    const { _clock: clock, _random: random, _log: log, decisions, submissions } = this
    const terms = this._supervisor('terms')
    const owners = this._owners()
    const createTerm = (): Task => new TermTask(this._holder, this._decided, decisions, this._submitted, submissions, owners, clock, random, log)
    return [terms, new OwnershipTask(this._holder, decisions, terms, createTerm, ownerResourceShortfall(this._settings.machine), clock, random, log)]
  }

  private _owners (): OwnerTreeFactory {
    const { _settings: { platform, process }, _dialer: dialer } = this
    const machines = platform.machines === '' ? null : new HttpFleetVirtualMachineControl(dialer.dial(platform.machines, MACHINE_CONNECTIONS), process.id)
    const advisor = platform.advice === '' ? null : new HttpAdvisor(dialer.dial(platform.advice, 1))
    return new OwnerTreeFactory(
      () => this._settings, this._holder, dialer, this._store, machines, advisor, this._decided, this.decisions, this.submissions, this._writer, this.configuration, this._observer, this._clock, this._random, this._metrics, this._log
    )
  }

  private _supervisor (name: string): Supervisor {
    return new Supervisor(name, this._clock, this._observer)
  }
}
