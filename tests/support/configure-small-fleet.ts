/**
 * Configuration of a small fleet for tests of the fold and of policies that read its state.
 */
import { Pool } from '../../src/schemas/pool.js'
import { Queue } from '../../src/schemas/queue.js'
import type { LogAuthor } from './log-author.js'

/** Configures two pools that must keep two VMs serving and a spare pool, each with four VMs over three zones, and one queue and one team. */
export function configureSmallFleet (author: LogAuthor): void {
  for (const name of ['one', 'two', 'spare']) {
    const value = Pool.parse({ name, minimumServing: name === 'spare' ? 0 : 2, isSpare: name === 'spare' })
    author.accept({ kind: 'put-pool', value, expectedVersion: 0 })
    for (let index = 0; index < 4; index++) {
      author.accept({
        kind: 'put-virtual-machine',
        value: {
          id: `${name}-${index}`,
          pool: name,
          availabilityZone: 'abc'[index % 3] ?? 'a',
          rack: `rack-${index}`,
          address: { host: '127.0.0.1', port: 10_000 + author.state.virtualMachines.size }
        },
        expectedVersion: 0
      })
    }
  }
  author.accept(
    { kind: 'put-queue', value: Queue.parse({ name: 'work', pool: 'one' }), expectedVersion: 0 },
    { kind: 'put-team', value: { name: 'team', share: 1, upperLimit: 10 }, expectedVersion: 0 }
  )
}
