/**
 * Checks of how many tasks of a lasting step the system's own actions have ended at a time.
 */
import type { EmulatedVirtualMachines } from './emulated-virtual-machines.js'
import type { EmulatedWorker } from './emulated-worker.js'

/** A step whose tasks last. */
interface BudgetedStep {
  /** Name of the step's tasks without their index: job, occurrence and step. */
  readonly name: string
  /** Number of the step's tasks. */
  readonly tasks: number
  /** Number of tasks that may be away at a time by the system's own actions; a step with 0 isn't checked. */
  readonly budget: number
  /** Epoch milliseconds at which the step's job was accepted. */
  readonly acceptedAt: number
  /** Epoch milliseconds at which the cancellation of the step's job was sent; Infinity if it wasn't. */
  readonly cancelledAt: number
}

/** What the check reads. */
interface PlatformRecord {
  readonly workers: readonly EmulatedWorker[]
  readonly orders: EmulatedVirtualMachines['orders']
  readonly steps: readonly BudgetedStep[]
  /** Time after which a task that isn't at work counts as away, whatever the cause, in milliseconds. */
  readonly noticeMilliseconds: number
  /** Whether a lease that expired on a worker at some time (epoch milliseconds) expired without any disturbance near, and so counts as an action of the system. */
  readonly isCalm: (worker: EmulatedWorker, at: number) => boolean
  /** Whether stops that reached a worker at some time may have been held up on their way, which excuses them. */
  readonly isHeldUp?: (worker: EmulatedWorker, at: number) => boolean
}

/** A run of a task of a step. */
interface Run {
  readonly task: string
  readonly run: number
  readonly worker: EmulatedWorker
  /** Epoch milliseconds from which on the task was at work. */
  readonly from: number
  /** Epoch milliseconds at which the run ended, or the order that ended it arrived. */
  readonly until: number
  /** The action of the system that ended the run, or empty. */
  readonly action: '' | 'stop' | 'order to the VM' | 'lease that expired in calm'
}

/**
 * Finds stops, orders to VMs and leases that expired in calm which ended a task at work, on a worker that wasn't draining, while as many other tasks of its step as the budget allows were away:
 * ended by such an action, or not at work for the notice period for any cause.
 */
export function disruptionBudgetViolations (record: PlatformRecord): string[] {
  for (const worker of record.workers) worker.completeDueRuns()
  return record.steps.filter(({ budget }) => budget > 0).flatMap(step => stepViolations(step, runsOf(step, record), record))
}

function stepViolations ({ name, tasks, budget, acceptedAt, cancelledAt }: BudgetedStep, runs: readonly Run[], { noticeMilliseconds, isHeldUp = () => false }: PlatformRecord): string[] {
  const ended = runs.filter(({ action, until, worker }) => action !== '' && until < worker.drainingSince && until < cancelledAt).sort((left, right) => left.until - right.until)
  return ended.flatMap((run, index) => {
    if (run.action === 'stop' && isHeldUp(run.worker, run.until)) return []
    // Of runs that end at the same moment, as all those on one VM do, the later ones see the earlier ones ended.
    const endedBefore = ended.slice(0, index)
    const away = Array.from({ length: tasks }, (_, task) => `${name}.${task}`).filter(task => task !== run.task).flatMap(task => {
      const begun = runs.filter(other => other.task === task && other.from <= run.until)
      if (begun.some(other => other.until > run.until || (other.until === run.until && !endedBefore.includes(other)))) return []
      const last = begun.sort((left, right) => left.until - right.until).at(-1)
      const milliseconds = run.until - (last?.until ?? acceptedAt)
      if (last?.action) return [`${task} (${last.action} ${milliseconds} ms before)`]
      return milliseconds >= noticeMilliseconds ? [`${task} (not at work for ${milliseconds} ms)`] : []
    })
    if (away.length < budget) return []
    return [`${run.task}: run ${run.run} on ${run.worker.id} ended by a ${run.action} at ${run.until} while ${away.length} other tasks of its step, which may miss ${budget}, were away: ${away.join(', ')}`]
  })
}

/** Runs of the tasks of a step that were at work. */
function runsOf ({ name }: BudgetedStep, { workers, orders, isCalm }: PlatformRecord): Run[] {
  return workers.flatMap(worker => worker.starts.filter(({ task }) => task.startsWith(`${name}.`)).map(({ task, run, startedAt }) => {
    const completion = worker.completions.find(other => other.task === task && other.run === run)
    const stoppedAt = worker.stopOrders.find(other => other.task === task && other.run === run)?.at ?? Infinity
    const endedAt = completion?.completedAt ?? Infinity
    const isOrdered = completion?.result === 'killed' && orders.some(({ virtualMachine, executedAt }) => virtualMachine === worker.virtualMachine && executedAt === endedAt)
    const hasLapsed = completion?.result === 'lapsed' && isCalm(worker, endedAt)
    const action = stoppedAt <= endedAt && stoppedAt < Infinity ? 'stop' : isOrdered ? 'order to the VM' : hasLapsed ? 'lease that expired in calm' : ''
    return { task, run, worker, from: startedAt + worker.warmUpMilliseconds, until: Math.min(stoppedAt, endedAt), action } as const
  }).filter(({ from, until }) => from < until))
}
