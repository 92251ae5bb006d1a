/**
 * One seeded run; the construction module of the soak.
 */
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { Supervisor } from '../src/supervision/supervisor.js'
import { CallerTask } from './caller-task.js'
import { FaultTask } from './fault-task.js'
import { DelayedConnections } from './faults/delayed-connections.js'
import { ForgottenHistory } from './faults/forgotten-history.js'
import { HerdKill } from './faults/herd-kill.js'
import { KeyWithdrawal } from './faults/key-withdrawal.js'
import { LateStarts } from './faults/late-starts.js'
import { LostAnswers } from './faults/lost-answers.js'
import { MaintenanceWave } from './faults/maintenance-wave.js'
import { PlannedRestart } from './faults/planned-restart.js'
import { ProcessKill } from './faults/process-kill.js'
import { ProcessPause } from './faults/process-pause.js'
import { ResetConnections } from './faults/reset-connections.js'
import { SettingsReload } from './faults/settings-reload.js'
import { SlowStore } from './faults/slow-store.js'
import { StaleConnections } from './faults/stale-connections.js'
import { StoreCut } from './faults/store-cut.js'
import { StoreRefusal } from './faults/store-refusal.js'
import { WorkerCrash } from './faults/worker-crash.js'
import { WorkerCut } from './faults/worker-cut.js'
import { ZoneOut } from './faults/zone-out.js'
import { SoakChecks } from './soak-checks.js'
import { SoakFleet } from './soak-fleet.js'
import type { SoakReport } from './soak-report.js'

/** Time for processes to start, in milliseconds. */
const START_MILLISECONDS = 3_000

/** Sizes of a run. */
interface SoakSizes {
  readonly processes: number
  readonly workers: number
  readonly callers: number
  /** Length of the faults, in milliseconds. */
  readonly milliseconds: number
}

/** Starts a fleet, lets callers and faults at it, and checks what came of it. */
export class SoakRun {
  constructor (private readonly _seed: number, private readonly _sizes: SoakSizes) {}

  /** Runs to the end; nothing of it stays but its folder of logs. */
  async run (): Promise<SoakReport> {
    const random = new SeededRandomSource(this._seed)
    const fleet = new SoakFleet(random)
    const { clock, calm, ledger } = fleet
    const supervisor = new Supervisor('soak', clock, { childRestarted: (_, name, error) => ledger.findings.push(`soak: ${name} restarted: ${error.message}`), childFailed: (_, name, error) => ledger.findings.push(`soak: ${name} failed: ${error.message}`) })
    const faults = new FaultTask(this._faults(), fleet, clock, new SeededRandomSource(this._seed + 1))
    const callers = Array.from({ length: this._sizes.callers }, (_, index) => new CallerTask(index, fleet.nodes, ledger, calm, () => fleet.key, clock, new SeededRandomSource(this._seed + 2 + index)))
    const stop = new AbortController()
    const [first] = callers
    if (!first) throw new Error('a run needs a caller')
    try {
      const calmAgain = calm.begin()
      await fleet.start(this._sizes.processes, this._sizes.workers)
      await clock.sleepUntil(clock.now() + START_MILLISECONDS)
      calmAgain()
      const ended = supervisor.run(stop.signal)
      const tasks = [...callers, faults].map(task => supervisor.start(task))
      await clock.sleepUntil(clock.now() + this._sizes.milliseconds)
      await Promise.all(tasks.map(task => task.stop()))
      stop.abort()
      await ended
      for (const node of fleet.nodes) node.start()
      const findings = await new SoakChecks(fleet, first, clock).findings()
      return { seed: this._seed, jobs: ledger.jobs.size, accepted: [...ledger.jobs.values()].filter(({ acceptedAt }) => acceptedAt < Infinity).length, answers: ledger.answers, faults: faults.counts, findings, folder: fleet.folder }
    } finally {
      stop.abort()
      await Promise.all(callers.map(caller => caller.close()))
      await fleet.close()
    }
  }

  private _faults (): ConstructorParameters<typeof FaultTask>[0] {
    return [
      new ProcessKill(), new HerdKill(), new ProcessPause(), new PlannedRestart(), new PlannedRestart(), new SettingsReload(),
      new StoreRefusal(), new SlowStore(), new LostAnswers(), new ForgottenHistory(), new StoreCut(), new WorkerCut(),
      new DelayedConnections(), new ResetConnections(), new StaleConnections(), new WorkerCrash(), new LateStarts(),
      new MaintenanceWave(), new ZoneOut(), new KeyWithdrawal()
    ]
  }
}
