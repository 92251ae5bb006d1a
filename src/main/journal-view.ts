/**
 * A process's view of the store.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { FleetTime } from '../jobs/fleet-time.js'
import type { JobJournal } from '../jobs/job-journal.js'
import type { JournalFollowerTask } from '../jobs/journal-follower-task.js'
import type { SubmissionWriterTask } from '../jobs/submission-writer-task.js'

/** The tasks that follow both journals and the configuration, and what writes to the journals. */
export interface JournalView {
  readonly decisionJournal: JobJournal
  readonly decisions: JournalFollowerTask
  readonly submissions: JournalFollowerTask
  readonly submissionWriter: SubmissionWriterTask
  readonly configuration: ConfigurationFollowerTask
  readonly fleetTime: FleetTime
}
