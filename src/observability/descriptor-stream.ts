/**
 * A stream to a file descriptor whose reader may be slow.
 */
import { write } from 'node:fs'
import { Writable } from 'node:stream'

/** Pause before a full pipe is tried again, in milliseconds. */
const FULL_PIPE_PAUSE_MILLISECONDS = 50

/**
 * Writes from libuv's threads, one chunk after another. Node's own `stdout` blocks on pipes, and its file streams fail for
 * good when a non-blocking pipe is full; this one waits until the reader has taken something.
 */
export class DescriptorStream extends Writable {
  constructor (private readonly _descriptor: number) {
    super({ decodeStrings: true })
  }

  override _write (chunk: Buffer, _encoding: BufferEncoding, callback: (error?: Error | null) => void): void {
    write(this._descriptor, chunk, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this._write(chunk, _encoding, callback), FULL_PIPE_PAUSE_MILLISECONDS).unref()
        return
      }
      if (error || written === chunk.length) return callback(error)
      this._write(chunk.subarray(written), _encoding, callback)
    })
  }
}
