/**
 * The attribution of crashes by what else ended.
 */
import type { CrashEvidence } from '../jobs/crash-evidence.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { Clock } from '../supervision/clock.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { WorkerTable } from '../workers/worker-table.js'
import type { AttributedCrash } from './attributed-crash.js'
import { CrashAttributionPolicy } from './crash-attribution-policy.js'
import type { EndCoincidencePolicy } from './end-coincidence-policy.js'
import { RecentWorkerEnds } from './recent-worker-ends.js'
import type { WithdrawnCrash } from './withdrawn-crash.js'
import type { WorkerEnd } from './worker-end.js'
import type { WorkerPlace } from './worker-place.js'

/** Time after a crash for which ends that are seen later can show a common cause, in milliseconds: calls to the other workers fail or are answered within it. */
const RECONSIDERATION_MILLISECONDS = 1_000

/** Time before a term in which a worker may have ended unseen, in milliseconds. */
const UNSEEN_MILLISECONDS = 3_000

/** Bound on how long before a refused call a worker may have ended, in milliseconds: its end breaks off the call that is under way. */
const REFUSAL_DELAY_MILLISECONDS = 50

/** Time after its last report by which a living worker reports again, with and without tasks by then, in milliseconds. A call that fails before has been broken off. */
const REPORT_INTERVAL_MILLISECONDS = 1_300
const IDLE_REPORT_INTERVAL_MILLISECONDS = 2_300

/** How much likelier a run on trial is to have crashed the worker than one that had passed its trial. */
const TRIAL_ODDS = 10

/** Adds to the crashes of another policy what tells for or against each run, and leaves out those of workers that ended together with others. */
export class EvidentAttributionPolicy extends CrashAttributionPolicy {
  private readonly _startedAt: number
  private readonly _ends: RecentWorkerEnds
  /** Attributed crashes that may still turn out to have a common cause. */
  private _undecided: ReadonlyArray<{ readonly end: WorkerEnd, readonly crashes: readonly AttributedCrash[], readonly until: number }> = []

  /** @param _workers returns the workers that the owner knows. */
  constructor (private readonly _roles: CrashAttributionPolicy, private readonly _coincidence: EndCoincidencePolicy, private readonly _workers: () => WorkerTable, private readonly _clock: Clock, private readonly _log: DecisionLog) {
    super()
    this._startedAt = _clock.now()
    this._ends = new RecentWorkerEnds(this._startedAt)
  }

  override attribute (worker: FleetWorker): AttributedCrash[] {
    return this._weigh(this._ends.record(this._endOf(worker, worker.entry.incarnation)), this._roles.attribute(worker))
  }

  override attributeInherited (task: ScheduledTask, worker: FleetWorker, incarnation: number): AttributedCrash[] {
    return this._weigh(this._ends.record(this._endOf(worker, incarnation)), this._roles.attributeInherited(task, worker, incarnation))
  }

  override reconsider (): WithdrawnCrash[] {
    const now = this._clock.now()
    const silent = this._silences()
    const withdrawn: WithdrawnCrash[] = []
    this._undecided = this._undecided.filter(({ end, crashes, until }) => {
      const cause = this._commonCause(end, silent)
      if (cause !== null) withdrawn.push(...crashes.map(({ task, run }) => ({ task, run, cause })))
      return cause === null && until > now
    })
    return withdrawn
  }

  private _weigh (end: WorkerEnd, crashes: readonly AttributedCrash[]): AttributedCrash[] {
    if (crashes.length === 0) return []
    const cause = this._commonCause(end, this._silences())
    if (cause !== null) {
      for (const { task, run, role } of crashes) {
        task.crashes.discount(run, cause)
        this._log.emit('worker crashed under run', { task: task.name, run, role, counts: false, cause, crashes: task.crashes.count, weight: Math.round(task.crashes.weight), isGivenUp: false })
      }
      return []
    }
    const workers = [...this._workers().all].length
    const rate = this._ends.rate(this._coincidence.countBackground(this._ends.all, end, workers), workers, end.latestAt)
    const groups = new Set(crashes.filter(({ role }) => role !== 'bystander').map(({ task }) => task.isolationGroup)).size
    const weighed = crashes.map(crash => ({ ...crash, evidence: this._evidence(crash, end, rate, groups) }))
    this._undecided = [...this._undecided, { end, crashes: weighed, until: this._clock.now() + RECONSIDERATION_MILLISECONDS }]
    return weighed
  }

  private _evidence ({ task, role }: AttributedCrash, { earliestAt, latestAt }: WorkerEnd, rate: number, groups: number): CrashEvidence {
    const { activeSince } = task
    const isKnown = activeSince > 0
    return {
      minimumAge: isKnown ? Math.round(Math.max(0, earliestAt - activeSince)) : 0,
      maximumAge: isKnown ? Math.round(Math.max(0, latestAt - activeSince)) : UNSEEN_MILLISECONDS,
      rate: Number(rate.toPrecision(3)),
      rivals: role === 'bystander' ? groups * TRIAL_ODDS : groups - 1
    }
  }

  private _commonCause (end: WorkerEnd, silences: readonly WorkerEnd[]): string | null {
    const ended = this._ends.all.filter(({ worker }) => worker !== end.worker)
    const others = [...ended, ...silences.filter(({ worker }) => worker !== end.worker)]
    const listed = [...this._workers().all].filter(({ isListed }) => isListed).map(worker => this._placeOf(worker))
    const places = new Map([...ended, ...listed].filter(({ worker }) => worker !== end.worker).map(place => [place.worker, place]))
    return this._coincidence.commonCause(end, others, [...places.values()])
  }

  /** Workers that don't respond, which may have ended. */
  private _silences (): WorkerEnd[] {
    return [...this._workers().all].filter(({ unreachableSince, lastReportAt }) => unreachableSince > 0 && lastReportAt > 0).map(worker => this._endOf(worker, worker.entry.incarnation))
  }

  private _endOf (worker: FleetWorker, incarnation: number): WorkerEnd {
    const { unreachableSince, refusesConnections, lastReportAt, tasks } = worker
    const isReported = lastReportAt > 0 && incarnation === worker.entry.incarnation
    const latestAt = isReported && unreachableSince > 0 ? unreachableSince : this._clock.now()
    const heardAt = isReported ? Math.max(lastReportAt, ...[...tasks].map(({ confirmedAt }) => confirmedAt === Infinity ? 0 : confirmedAt)) : this._startedAt - UNSEEN_MILLISECONDS
    const reportInterval = [...tasks].some(({ startOrderedAt }) => startOrderedAt <= lastReportAt) ? REPORT_INTERVAL_MILLISECONDS : IDLE_REPORT_INTERVAL_MILLISECONDS
    const isAbrupt = refusesConnections && unreachableSince > 0 && unreachableSince - lastReportAt < reportInterval
    const earliestAt = isAbrupt ? Math.max(heardAt, latestAt - REFUSAL_DELAY_MILLISECONDS) : heardAt
    return {
      ...this._placeOf(worker),
      incarnation,
      earliestAt: Math.min(earliestAt, latestAt),
      latestAt,
      isAbrupt,
      trialStarts: [...tasks].filter(({ isOnTrial, startOrderedAt }) => isOnTrial && startOrderedAt > 0).map(({ startOrderedAt }) => startOrderedAt)
    }
  }

  private _placeOf ({ rack, entry: { id, pool, availabilityZone } }: FleetWorker): WorkerPlace {
    return { worker: id, pool, rack, availabilityZone }
  }
}
