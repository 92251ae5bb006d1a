/**
 * The backlog: accepted jobs that haven't finished.
 */
import { backlogSize } from './backlog-size.js'
import type { JobSubmission } from './job-submission.js'

/** Sums up the sizes of jobs, in tasks, in all and by team. */
export class JobBacklog {
  private _total = 0
  private readonly _totalsByTeam = new Map<string, number>()

  /** Size of all jobs. */
  get total (): number {
    return this._total
  }

  /** Returns the size of a team's jobs. */
  ofTeam (team: string): number {
    return this._totalsByTeam.get(team) ?? 0
  }

  /** Adds an accepted job. */
  add (submission: JobSubmission): void {
    this._change(submission.team, backlogSize(submission))
  }

  /** Removes a job that has finished. */
  remove (submission: JobSubmission): void {
    this._change(submission.team, -backlogSize(submission))
  }

  private _change (team: string, difference: number): void {
    this._total += difference
    this._totalsByTeam.set(team, this.ofTeam(team) + difference)
  }
}
