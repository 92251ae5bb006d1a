/**
 * Access of a process to the journal.
 */
import type { FleetTime } from './fleet-time.js'
import type { JobJournal } from './job-journal.js'
import type { JournalFollowerTask } from './journal-follower-task.js'
import type { SubmissionWriterTask } from './submission-writer-task.js'

/** What any process may do with the journal: read both topics and write submissions. */
export interface JournalAccess {
  /** The topic of submissions, for looking up a job that hasn't been applied yet. */
  readonly submissionJournal: JobJournal
  readonly submissions: JournalFollowerTask
  readonly decisions: JournalFollowerTask
  readonly writer: SubmissionWriterTask
  readonly fleetTime: FleetTime
}
