/**
 * A seeded soak run; composition root of the soak test.
 */
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { Supervisor } from '../src/supervision/supervisor.js'
import { CallerTask } from './caller-task.js'
import { FaultInjectionTask } from './fault-injection-task.js'
import { SoakChecks } from './soak-checks.js'
import { SoakFleet } from './soak-fleet.js'
import { StallWatchTask } from './stall-watch-task.js'
import type { SoakReport } from './soak-report.js'
import type { SoakShape } from './soak-shape.js'

/** Time that processes get to start before callers and faults begin. */
const STARTUP_MILLISECONDS = 3_000

/** Sizes of a soak run, and the choice of its faults. */
interface SoakSizes {
  readonly processes: number
  readonly workers: number
  readonly callers: number
  /** Duration of fault injection, in milliseconds. */
  readonly faultMilliseconds: number
  /** Names of the faults to inject; all of the shape if there are none. */
  readonly only?: readonly string[]
}

/** Runs callers and faults against a fleet, and then checks the system's guarantees. */
export class SoakRun {
  constructor (private readonly _seed: number, private readonly _shape: SoakShape, private readonly _sizes: SoakSizes) {}

  /** Runs the soak test and returns its report; only the folder of logs is left afterwards. */
  async run (): Promise<SoakReport> {
    const random = new SeededRandomSource(this._seed)
    const fleet = new SoakFleet(random, this._shape)
    const { clock, faultIntervals, ledger } = fleet
    const supervisor = new Supervisor('soak', clock, { childRestarted: (_, name, error) => ledger.findings.push(`soak: ${name} restarted: ${error.message}`), childFailed: (_, name, error) => ledger.findings.push(`soak: ${name} failed: ${error.message}`) })
    const faultInjection = new FaultInjectionTask(this._faults(), this._shape.schedule, fleet, clock, new SeededRandomSource(this._seed + 1))
    const callers = Array.from({ length: this._sizes.callers }, (_, index) => new CallerTask(index, fleet, this._shape.jobs, new SeededRandomSource(this._seed + 2 + index)))
    const stopController = new AbortController()
    const [firstCaller] = callers
    if (!firstCaller) throw new Error('a soak run needs at least one caller')
    try {
      const endStartupInterval = faultIntervals.begin()
      await fleet.start(this._sizes.processes, this._sizes.workers)
      await clock.sleepUntil(clock.now() + STARTUP_MILLISECONDS)
      endStartupInterval()
      const supervisorRun = supervisor.run(stopController.signal)
      const tasks = [...callers, faultInjection, new StallWatchTask(fleet)].map(task => supervisor.start(task))
      await clock.sleepUntil(clock.now() + this._sizes.faultMilliseconds)
      await Promise.all(tasks.map(task => task.stop()))
      stopController.abort()
      await supervisorRun
      for (const node of fleet.nodes) node.start()
      const findings = await new SoakChecks(fleet, firstCaller, clock).findings()
      fleet.writeRecords()
      return { seed: this._seed, jobs: ledger.jobs.size, accepted: [...ledger.jobs.values()].filter(({ acceptedAt }) => acceptedAt < Infinity).length, responseCounts: ledger.responseCounts, faultCounts: faultInjection.injectionCounts, findings, folder: fleet.folder }
    } finally {
      stopController.abort()
      await Promise.all(callers.map(caller => caller.close()))
      await fleet.close()
    }
  }

  private _faults (): ReturnType<SoakShape['createFaults']> {
    const { only = [] } = this._sizes
    const faults = this._shape.createFaults()
    const unknown = only.filter(name => !faults.some(fault => fault.name === name))
    if (unknown.length > 0) throw new Error(`unknown faults: ${unknown.join(', ')}; the shape has: ${[...new Set(faults.map(({ name }) => name))].join(', ')}`)
    return only.length === 0 ? faults : faults.filter(({ name }) => only.includes(name))
  }
}
