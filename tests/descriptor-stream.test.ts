/**
 * Writing to a descriptor whose reader is slow, or gone.
 */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { expect, test } from 'vitest'
import { DescriptorStream } from '../src/observability/descriptor-stream.js'

/** More than the buffers of both ends of a connection hold, in bytes. */
const FLOOD_BYTES = 32 * 1_024 * 1_024

/** A connection over loopback, with the descriptor of its writing end, which doesn't block. */
async function connection (): Promise<{ reader: Socket, writer: Socket, descriptor: number }> {
  const server = createServer({ pauseOnConnect: true })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const writer = connect((server.address() as AddressInfo).port, '127.0.0.1')
  const [[reader]] = await Promise.all([once(server, 'connection') as Promise<[Socket]>, once(writer, 'connect')])
  server.close()
  const { fd } = (writer as unknown as { _handle: { fd: number } })._handle
  return { reader, writer, descriptor: fd }
}

test('what a full pipe refuses is written once its reader goes on', async () => {
  const { reader, writer, descriptor } = await connection()
  const stream = new DescriptorStream(descriptor)
  const errors: Error[] = []
  stream.on('error', error => errors.push(error))
  const chunk = Buffer.alloc(64 * 1_024, 'x')
  for (let written = 0; written < FLOOD_BYTES; written += chunk.length) stream.write(chunk)
  let received = 0
  reader.on('data', (bytes: Buffer) => { received += bytes.length })
  // The reader starts when the writer has surely met a full buffer.
  await new Promise(resolve => setTimeout(resolve, 200))
  expect(stream.writableLength).toBeGreaterThan(0)
  reader.resume()
  stream.end()
  await once(stream, 'finish')
  writer.end()
  await once(reader, 'end')
  expect(received).toBe(FLOOD_BYTES)
  expect(errors).toEqual([])
})
