/**
 * Tests of jobs whose queue is removed after they were accepted.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

// Guards against jobs of a removed queue that never go on once every process has been restarted.
test('a job whose queue is removed goes on after all processes have been restarted: its steps, its limit of attempts and its lasting tasks', { timeout: 60_000 }, async () => {
  const fleet = await EmulatedFleet.create(3, ['one', 'two'])
  fleet.configure({ routes: [{ name: 'extra', host: 'fleet.example', path_prefix: '/extra/', service: 'work', max_attempts: 2 }] })
  await fleet.clock.advance(1_000)
  for (const task of ['steps.0.0.0', 'fails.0.0.0']) fleet.outcomesByTask.set(task, { milliseconds: 14_000, result: 'done' })
  fleet.outcomesByTask.set('fails.0.1.0', { milliseconds: 500, result: 'failed' })
  fleet.outcomesByTask.set('lasts.0.0.0', { milliseconds: Infinity, result: 'done' })
  for (const id of ['steps', 'fails']) await fleet.submit('one', id, [{}, { after: [0] }], {}, undefined, '/extra/')
  await fleet.submit('one', 'lasts', [{ isLasting: true }], {}, undefined, '/extra/')
  await fleet.clock.advance(1_000)
  fleet.configure()
  await fleet.clock.advance(1_000)
  for (const name of ['one', 'two']) {
    await fleet.shutDown(name)
    fleet.start(name)
    await fleet.clock.advance(2_000)
  }
  const worker = fleet.emulator.workerIncarnations.find(({ running }) => running.some(task => task.startsWith('lasts')))
  if (worker) fleet.emulator.crash(worker)
  await fleet.clock.advance(25_000)
  expect(fleet.starts('steps.0.1.0')).toHaveLength(1)
  expect(fleet.starts('fails.0.1.0')).toHaveLength(2)
  expect(fleet.emulator.workerIncarnations.flatMap(({ running }) => running)).toContain('lasts.0.0.0')
  expect(fleet.violations()).toEqual([])
})
