/**
 * Admission of jobs by the size of the backlog.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { Clock } from '../supervision/clock.js'
import { backlogSize } from '../jobs/backlog-size.js'
import type { JobDefinition } from '../jobs/job-definition.js'
import type { JobTable } from '../jobs/job-table.js'

/** Part of the limit that any team may use; the rest is divided by the teams' shares, so that no team's jobs keep all others out. */
const SHARED_FRACTION = 0.5

/** Time after which a job that was accepted here has been read from the journal, or never will be, in milliseconds. */
const RESERVATION_MILLISECONDS = 10_000

/** A job of which this process has accepted the submission, or is about to. */
interface Reservation {
  readonly team: string
  readonly size: number
  /** Epoch milliseconds. */
  readonly expiresAt: number
}

/**
 * Limits what all accepted jobs take together: each process holds all of them in memory, and the owner their tasks as well. Other processes
 * may accept jobs at the same moment, so that the limit can be exceeded by what they accept until they have read of each other's jobs.
 */
export class BacklogAdmission {
  private readonly _reservations = new Map<string, Reservation>()

  /** @param _maximumTasks largest size of the backlog, in tasks. */
  constructor (private readonly _jobTable: JobTable, private readonly _configuration: ConfigurationFollowerTask, private readonly _maximumTasks: number, private readonly _clock: Clock) {}

  /** Whether a job is larger than the whole backlog may be for any team. */
  isTooLarge (job: JobDefinition): boolean {
    return backlogSize(job) > this._maximumTasks * SHARED_FRACTION
  }

  /** Reserves room for a job. Returns false if there is none at present. */
  reserve (id: string, team: string, job: JobDefinition): boolean {
    this._releaseApplied()
    const size = backlogSize(job)
    if (!this._hasRoom(team, size)) return false
    this._reservations.set(id, { team, size, expiresAt: this._clock.now() + RESERVATION_MILLISECONDS })
    return true
  }

  /** Whether the submission of a job may be on its way to the journal. */
  isReserved (id: string): boolean {
    return this._reservations.has(id)
  }

  /** Releases the room of a job that was not accepted. */
  release (id: string): void {
    this._reservations.delete(id)
  }

  private _hasRoom (team: string, size: number): boolean {
    const reservations = [...this._reservations.values()]
    const reserved = (matches: (reservation: Reservation) => boolean): number => reservations.filter(matches).reduce((sum, reservation) => sum + reservation.size, 0)
    const { backlog } = this._jobTable
    if (backlog.total + reserved(() => true) + size <= this._maximumTasks * SHARED_FRACTION) return true
    return backlog.ofTeam(team) + reserved(reservation => reservation.team === team) + size <= this._maximumTasks * (1 - SHARED_FRACTION) * this._shareOf(team)
  }

  /** Returns a team's part of what is divided, from 0 to 1. Jobs without a team count as those of one more team with an average share. */
  private _shareOf (team: string): number {
    const shares = this._configuration.configuration?.teams.map(({ share }) => share) ?? []
    const sum = shares.reduce((total, share) => total + share, 0)
    const average = shares.length === 0 || sum === 0 ? 1 : sum / shares.length
    return (this._configuration.team(team)?.share ?? average) / (sum + average)
  }

  /** Releases the room of jobs that count in the job table by now. */
  private _releaseApplied (): void {
    const now = this._clock.now()
    for (const [id, { expiresAt }] of this._reservations) if (expiresAt <= now || this._jobTable.state(id)) this._reservations.delete(id)
  }
}
