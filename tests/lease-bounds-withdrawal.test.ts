/**
 * Tests of the order in which bounds on leases are written and withdrawn.
 */
import { expect, test } from 'vitest'
import type { FleetTime } from '../src/jobs/fleet-time.js'
import type { JournalRecord } from '../src/jobs/journal-record.js'
import { JobTable } from '../src/jobs/job-table.js'
import type { DecisionWriterTask } from '../src/scheduling/decision-writer-task.js'
import { FleetWorker } from '../src/workers/fleet-worker.js'
import { LeaseBounds } from '../src/leases/lease-bounds.js'
import type { ScheduledTask } from '../src/scheduling/scheduled-task.js'
import { FakeClock } from './support/fake-clock.js'
import { RecordingDecisionLog } from './support/recording-decision-log.js'

const RESOURCES = { millicores: 1, memoryMegabytes: 1, accelerators: 0 }

test('a withdrawal that is confirmed after another bound was decided on does not count for that bound', () => {
  const clock = new FakeClock()
  const written: (() => void)[] = []
  const records: JournalRecord[] = []
  const writer = {
    isTermConfirmedWithin: () => true,
    announceLeaseRenewals: () => {},
    append: (record: JournalRecord, onWritten = (): void => {}) => {
      records.push(record)
      written.push(onWritten)
    }
  }
  const fleetTime = { now: () => clock.now(), fromLocal: (time: number) => time }
  const bounds = new LeaseBounds(new JobTable(clock), writer as unknown as DecisionWriterTask, 1, fleetTime as unknown as FleetTime, new RecordingDecisionLog())
  const worker = new FleetWorker({ id: 'i-1', incarnation: 1, pool: 'work', address: '', availabilityZone: 'a', capacity: RESOURCES, labels: [], isDraining: false }, clock.now() + 5_000, Infinity, { maximumLeaseMilliseconds: 6_000, maximumCallDelayMilliseconds: 12_000 })
  worker.reserve({ reservation: RESOURCES } as unknown as ScheduledTask)
  bounds.adopt([])
  bounds.record(worker)
  // The store is slow: the wait for the first withdrawal is over before the store has confirmed it, and the next report leads to a second one.
  bounds.withdraw(worker)
  bounds.withdraw(worker)
  written[1]?.()
  expect(worker.hasLeaseBound).toBe(false)
  bounds.record(worker)
  written[2]?.()
  expect(records.at(-1)?.kind).toBe('lease-bound')
  expect(worker.hasLeaseBound).toBe(true)
})
