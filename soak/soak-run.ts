/**
 * A seeded soak run; composition root of the soak test.
 */
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { Supervisor } from '../src/supervision/supervisor.js'
import { CallerTask } from './caller-task.js'
import { FaultInjectionTask } from './fault-injection-task.js'
import { BlackholedConnections } from './faults/blackholed-connections.js'
import { DeadlyJobs } from './faults/deadly-jobs.js'
import { DelayedConnections } from './faults/delayed-connections.js'
import { FleetKill } from './faults/fleet-kill.js'
import { ForeignEntries } from './faults/foreign-entries.js'
import { HistoryCompaction } from './faults/history-compaction.js'
import { KeyWithdrawal } from './faults/key-withdrawal.js'
import { LateStartAcrossRestart } from './faults/late-start-across-restart.js'
import { LateStarts } from './faults/late-starts.js'
import { LostAppendResponses } from './faults/lost-append-responses.js'
import { MaintenanceWave } from './faults/maintenance-wave.js'
import { PlannedRestart } from './faults/planned-restart.js'
import { ProcessKill } from './faults/process-kill.js'
import { ProcessPause } from './faults/process-pause.js'
import { ResetConnections } from './faults/reset-connections.js'
import { SettingsReload } from './faults/settings-reload.js'
import { ShrinkingCapacity } from './faults/shrinking-capacity.js'
import { SlowStore } from './faults/slow-store.js'
import { StoreDisconnection } from './faults/store-disconnection.js'
import { StoreRefusal } from './faults/store-refusal.js'
import { WorkerCrash } from './faults/worker-crash.js'
import { WorkerDisconnection } from './faults/worker-disconnection.js'
import { ZoneEvacuation } from './faults/zone-evacuation.js'
import { SoakChecks } from './soak-checks.js'
import { SoakFleet } from './soak-fleet.js'
import type { SoakReport } from './soak-report.js'

/** Time that processes get to start before callers and faults begin. */
const STARTUP_MILLISECONDS = 3_000

/** Sizes of a soak run. */
interface SoakSizes {
  readonly processes: number
  readonly workers: number
  readonly callers: number
  /** Duration of fault injection, in milliseconds. */
  readonly faultMilliseconds: number
}

/** Runs callers and faults against a fleet, and then checks the system's guarantees. */
export class SoakRun {
  constructor (private readonly _seed: number, private readonly _sizes: SoakSizes) {}

  /** Runs the soak test and returns its report; only the folder of logs is left afterwards. */
  async run (): Promise<SoakReport> {
    const random = new SeededRandomSource(this._seed)
    const fleet = new SoakFleet(random)
    const { clock, faultIntervals, ledger } = fleet
    const supervisor = new Supervisor('soak', clock, { childRestarted: (_, name, error) => ledger.findings.push(`soak: ${name} restarted: ${error.message}`), childFailed: (_, name, error) => ledger.findings.push(`soak: ${name} failed: ${error.message}`) })
    const faultInjection = new FaultInjectionTask(this._createFaults(), fleet, clock, new SeededRandomSource(this._seed + 1))
    const callers = Array.from({ length: this._sizes.callers }, (_, index) => new CallerTask(index, fleet.nodes, ledger, faultIntervals, () => fleet.key, clock, new SeededRandomSource(this._seed + 2 + index)))
    const stopController = new AbortController()
    const [firstCaller] = callers
    if (!firstCaller) throw new Error('a soak run needs at least one caller')
    try {
      const endStartupInterval = faultIntervals.begin()
      await fleet.start(this._sizes.processes, this._sizes.workers)
      await clock.sleepUntil(clock.now() + STARTUP_MILLISECONDS)
      endStartupInterval()
      const supervisorRun = supervisor.run(stopController.signal)
      const tasks = [...callers, faultInjection].map(task => supervisor.start(task))
      await clock.sleepUntil(clock.now() + this._sizes.faultMilliseconds)
      await Promise.all(tasks.map(task => task.stop()))
      stopController.abort()
      await supervisorRun
      for (const node of fleet.nodes) node.start()
      const findings = await new SoakChecks(fleet, firstCaller, clock).findings()
      return { seed: this._seed, jobs: ledger.jobs.size, accepted: [...ledger.jobs.values()].filter(({ acceptedAt }) => acceptedAt < Infinity).length, responseCounts: ledger.responseCounts, faultCounts: faultInjection.injectionCounts, findings, folder: fleet.folder }
    } finally {
      stopController.abort()
      await Promise.all(callers.map(caller => caller.close()))
      await fleet.close()
    }
  }

  private _createFaults (): ConstructorParameters<typeof FaultInjectionTask>[0] {
    return [
      new ProcessKill(), new FleetKill(), new ProcessPause(), new PlannedRestart(), new PlannedRestart(), new SettingsReload(),
      new StoreRefusal(), new SlowStore(), new LostAppendResponses(), new HistoryCompaction(), new StoreDisconnection(), new WorkerDisconnection(),
      new DelayedConnections(), new ResetConnections(), new BlackholedConnections(), new WorkerCrash(), new DeadlyJobs(), new LateStartAcrossRestart(), new LateStarts(),
      new MaintenanceWave(), new ZoneEvacuation(), new KeyWithdrawal(), new ForeignEntries(), new ShrinkingCapacity()
    ]
  }
}
