/**
 * Tests of the fencing tokens of an owner's orders to a worker.
 */
import { expect, test } from 'vitest'
import { TOKENS_PER_TERM } from '../src/ownership/tokens-per-term.js'
import { FleetWorker } from '../src/workers/fleet-worker.js'
import { OrderFence } from '../src/leases/order-fence.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

// Guards against a raised token that the next owner's orders don't exceed, which would refuse them.
test('the numbers of terms are further apart than an owner raises its tokens', async () => {
  const fleet = await EmulatedFleet.create(1, ['one', 'two', 'three'], 1, false)
  const terms: number[] = []
  for (let takeover = 0; takeover < 4; takeover++) {
    const owner = fleet.owner()
    terms.push(Number(fleet.nodes.get(owner)?.log.fieldsOf('term begins').at(-1)?.term))
    fleet.kill(owner)
    fleet.start(`next-${takeover}`)
    await fleet.clock.advance(10_000)
  }
  for (const [index, term] of terms.entries()) {
    const fence = new OrderFence(term)
    for (let raise = 0; raise < 2 * TOKENS_PER_TERM; raise++) fence.raiseAbove(fence.token)
    expect(term % TOKENS_PER_TERM).toBe(0)
    expect(fence.token).toBe(term + TOKENS_PER_TERM - 1)
    expect(fence.token).toBeLessThan(terms[index + 1] ?? Infinity)
  }
})

test('a token is raised once for all orders that carried the one before', () => {
  const fence = new OrderFence(TOKENS_PER_TERM)
  const { token } = fence
  for (let order = 0; order < 3; order++) fence.raiseAbove(token)
  expect(fence.token).toBe(token + 1)
})

// Guards against a start that counts as fenced after an answer to a call with its own token, as when the tokens of a term are used up.
test('only an answer to a call with a higher token settles a start without a response', () => {
  const worker = new FleetWorker({ id: 'i-1', incarnation: 1, pool: 'work', address: '', availabilityZone: 'a', capacity: { millicores: 1, memoryMegabytes: 1, accelerators: 0 }, labels: [], isDraining: false }, 0, Infinity, { maximumLeaseMilliseconds: 6_000, maximumCallDelayMilliseconds: 12_000 })
  worker.unsettledRuns.set('aaaa.0.0.0/1', 7)
  worker.confirmToken(7)
  expect([...worker.unsettledRuns.keys()]).toEqual(['aaaa.0.0.0/1'])
  worker.confirmToken(8)
  expect([...worker.unsettledRuns.keys()]).toEqual([])
})
