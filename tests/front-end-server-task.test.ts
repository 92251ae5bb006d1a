/**
 * The callers' front end and its addresses.
 */
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { request } from 'undici'
import { expect, test } from 'vitest'
import type { JobService } from '../src/jobs/job-service.js'
import { FrontEndServerTask } from '../src/platform/front-end-server-task.js'
import { Supervisor } from '../src/supervision/supervisor.js'
import { SystemClock } from '../src/supervision/system-clock.js'

/** A listener on a port that the system chooses. */
async function listener (): Promise<{ server: Server, address: string }> {
  const server = createServer()
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
}

test('a front end that finds its address taken leaves nothing behind that keeps it from starting later', async () => {
  const clock = new SystemClock()
  const observer = { childRestarted: () => {}, childFailed: () => {} }
  const taken = await listener()
  const free = await listener()
  free.server.close()
  await once(free.server, 'close')
  // Nobody calls the service here.
  const service = {} as JobService
  const stop = new AbortController()
  const front = (): FrontEndServerTask => new FrontEndServerTask(taken.address, free.address, new Supervisor('requests', clock, observer), service, () => true, () => clock.now() - 60_000, () => 1_000, clock)
  await expect(front().run(stop.signal)).rejects.toThrow('EADDRINUSE')
  taken.server.close()
  await once(taken.server, 'close')
  const running = front().run(stop.signal)
  const ready = async (): Promise<number> => (await request(`http://${free.address}/`).catch(() => null))?.statusCode ?? 0
  while (await ready() !== 200) await clock.sleepUntil(clock.now() + 10)
  stop.abort()
  await running
})
