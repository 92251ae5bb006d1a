/**
 * Tests of DescriptorStream with a slow reader.
 */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { expect, test } from 'vitest'
import { DescriptorStream } from '../src/observability/descriptor-stream.js'

/** Exceeds the capacity of the buffers at both ends of a connection. */
const FLOOD_BYTES = 32 * 1_024 * 1_024

/** Opens a loopback connection; its writing end has a non-blocking descriptor. */
async function connectPair (): Promise<{ reader: Socket, writer: Socket, descriptor: number }> {
  const server = createServer({ pauseOnConnect: true })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const writer = connect((server.address() as AddressInfo).port, '127.0.0.1')
  const [[reader]] = await Promise.all([once(server, 'connection') as Promise<[Socket]>, once(writer, 'connect')])
  server.close()
  const { fd } = (writer as unknown as { _handle: { fd: number } })._handle
  return { reader, writer, descriptor: fd }
}

test('chunks that a full buffer rejects are written once the reader continues', async () => {
  const { reader, writer, descriptor } = await connectPair()
  const stream = new DescriptorStream(descriptor)
  const errors: Error[] = []
  stream.on('error', error => errors.push(error))
  const chunk = Buffer.alloc(64 * 1_024, 'x')
  for (let written = 0; written < FLOOD_BYTES; written += chunk.length) stream.write(chunk)
  let received = 0
  reader.on('data', (bytes: Buffer) => { received += bytes.length })
  // The reader starts once the writer has filled the buffers.
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
