/**
 * Writable stream on a file descriptor whose reader may be slow.
 */
import { write } from 'node:fs'
import { Writable } from 'node:stream'

/** Delay before a write to a full pipe is retried. */
const FULL_PIPE_RETRY_DELAY_MILLISECONDS = 50

/**
 * Writes one chunk after another in libuv's thread pool. Node's own `stdout` blocks on pipes, and its file streams fail
 * permanently when a non-blocking pipe is full; this stream retries until the reader has made space.
 */
export class DescriptorStream extends Writable {
  constructor (private readonly _descriptor: number) {
    super({ decodeStrings: true })
  }

  /** Writes several chunks with one call. */
  override _writev (chunks: Array<{ readonly chunk: Buffer, readonly encoding: BufferEncoding }>, callback: (error?: Error | null) => void): void {
    this._write(Buffer.concat(chunks.map(({ chunk }) => chunk)), 'utf8', callback)
  }

  override _write (chunk: Buffer, _encoding: BufferEncoding, callback: (error?: Error | null) => void): void {
    write(this._descriptor, chunk, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this._write(chunk, _encoding, callback), FULL_PIPE_RETRY_DELAY_MILLISECONDS).unref()
        return
      }
      if (error || written === chunk.length) return callback(error)
      this._write(chunk.subarray(written), _encoding, callback)
    })
  }
}
