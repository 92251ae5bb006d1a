/**
 * HTTP server that simulates a service instance on an endpoint VM. For development and tests only.
 */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { randomUUID } from 'node:crypto'
import type { RandomSource } from '../src/supervision/random-source.js'
import { EndpointFaults } from './endpoint-faults.js'
import { JsonBody } from './json-body.js'

/** Options of a simulated endpoint. */
interface EndpointOptions {
  readonly virtualMachine: string
  readonly pool: string
  /** Maximum number of requests that run at once; further ones are refused. */
  readonly slots: number
  /** Maximum number of open connections. */
  readonly maximumConnections: number
  /** Processing time of requests without the header `x-work-milliseconds`, in milliseconds. */
  readonly workMilliseconds: number
  readonly random: RandomSource
}

/** A request that started on the endpoint. */
interface LedgerEntry {
  readonly requestId: string
  readonly team: string | null
  readonly pool: string
  readonly method: string
  readonly path: string
  /** Label that the caller gave the request in the header `x-mark`. */
  readonly mark: string
  /** Whether the request came with a key, which is between the caller and the system. */
  readonly hasKey: boolean
  readonly startedAt: number
  endedAt: number | null
}

/** Runs requests in a fixed number of slots and records each one in a ledger. */
export class EndpointServer {
  /** All requests that started, in the order of their starts. */
  readonly ledger: LedgerEntry[] = []
  faults: EndpointFaults = EndpointFaults.parse({})
  /** Number of requests interrupted by a reboot; a planned reboot must leave it at 0. */
  cutByReboot = 0
  /** Maximum number of requests that ran at once. */
  peakRunning = 0
  private readonly _running = new Map<string, LedgerEntry>()
  private readonly _sockets = new Set<Socket>()
  private readonly _silentSockets = new WeakSet<Socket>()
  private readonly _server: Server
  private _pool: string
  private _bootId = randomUUID()
  private _isRebooting = false
  /** Resolves when requests may complete. */
  private _released: Promise<void> = Promise.resolve()
  private _release: () => void = () => {}

  constructor (private readonly _options: EndpointOptions) {
    this._pool = _options.pool
    this._server = createServer({ keepAliveTimeout: 30_000 }, (message, response) => { void this._dispatch(message, response) })
    this._server.maxConnections = _options.maximumConnections
    this._server.on('connection', socket => this._accept(socket))
  }

  /** Pool whose service this endpoint runs. */
  get pool (): string {
    return this._pool
  }

  /** Number of requests that are running. */
  get running (): number {
    return this._running.size
  }

  /** Starts listening and returns the port; port 0 selects a free one. */
  async listen (host: string, port: number): Promise<number> {
    this._server.listen(port, host)
    await once(this._server, 'listening')
    return (this._server.address() as AddressInfo).port
  }

  /** Closes all connections and the server. */
  async close (): Promise<void> {
    this.release()
    this._server.closeAllConnections()
    this._server.close()
    await once(this._server, 'close').catch(() => {})
  }

  /** Stops reading requests and sending responses on all open connections without closing them; new connections work. */
  silenceConnections (): void {
    for (const socket of this._sockets) {
      this._silentSockets.add(socket)
      socket.pause()
      socket.removeAllListeners('data')
    }
  }

  /** Keeps requests from completing until `release` is called, however long they work. */
  hold (): void {
    this._released = new Promise(resolve => { this._release = resolve })
  }

  /** Lets the requests complete that `hold` has kept. */
  release (): void {
    this._release()
  }

  /** Reboots into the service of a pool; running requests are interrupted. */
  async reboot (pool: string, milliseconds: number): Promise<void> {
    this._isRebooting = true
    this.cutByReboot += this._running.size
    for (const socket of this._sockets) socket.destroy()
    this._running.clear()
    await delay(milliseconds)
    this._pool = pool
    this._bootId = randomUUID()
    this._isRebooting = false
  }

  private _accept (socket: Socket): void {
    if (this.faults.isDown || this._isRebooting) {
      socket.destroy()
      return
    }
    this._sockets.add(socket)
    socket.once('close', () => this._sockets.delete(socket))
  }

  private async _dispatch (message: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this._silentSockets.has(message.socket)) return
    if (message.url === '/healthz') this._sendHealth(response)
    else if (message.url?.startsWith('/stand-in/')) await this._handleControl(message, response)
    else await this._handleRequest(message, response)
  }

  private _sendHealth (response: ServerResponse): void {
    const { virtualMachine, slots } = this._options
    JsonBody.send(response, { virtualMachine, pool: this._pool, bootId: this._bootId, slots, running: [...this._running.keys()] })
  }

  private async _handleControl (message: IncomingMessage, response: ServerResponse): Promise<void> {
    if (message.url === '/stand-in/ledger') {
      JsonBody.send(response, { ledger: this.ledger, cutByReboot: this.cutByReboot, peakRunning: this.peakRunning })
      return
    }
    if (message.url === '/stand-in/silence') {
      JsonBody.send(response, {})
      setImmediate(() => this.silenceConnections())
      return
    }
    const document = await JsonBody.read(message) as { pool: string, milliseconds: number }
    if (message.url === '/stand-in/faults') {
      this.faults = EndpointFaults.parse({ ...this.faults, ...document })
      JsonBody.send(response, this.faults)
      return
    }
    response.once('finish', () => { void this.reboot(document.pool, document.milliseconds) })
    JsonBody.send(response, {})
  }

  private async _handleRequest (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = String(message.headers['samphireglade-request-id'] ?? '')
    const refusal = this._refusalReason(message)
    response.setHeader('samphireglade-request-id', requestId)
    response.setHeader('samphireglade-running', String(this._running.size))
    if (refusal) {
      response.setHeader('samphireglade-refused', refusal)
      message.resume()
      JsonBody.send(response, { refused: refusal }, 503)
      return
    }
    const entry = this._startRequest(requestId, message)
    const body = await this._readBody(message)
    if (body === null) {
      this._running.delete(requestId)
      return
    }
    const workMilliseconds = Number(message.headers['x-work-milliseconds'] ?? this._options.workMilliseconds)
    await delay(workMilliseconds + this.faults.slowMilliseconds)
    await this._released
    entry.endedAt = Date.now()
    this._running.delete(requestId)
    if (!this._silentSockets.has(message.socket)) this._respond(message, response, body)
  }

  /** Reason for refusing a request, or null if it can run. */
  private _refusalReason (message: IncomingMessage): string | null {
    const pool = message.headers['samphireglade-pool']
    if (pool !== undefined && pool !== this._pool) return 'wrong-pool'
    if (this._running.size >= this._options.slots) return 'full'
    if (this._options.random.next() < this.faults.refusedPart) return 'unwilling'
    return null
  }

  private _startRequest (requestId: string, message: IncomingMessage): LedgerEntry {
    const entry: LedgerEntry = {
      requestId,
      team: message.headers['samphireglade-team'] === undefined ? null : String(message.headers['samphireglade-team']),
      pool: this._pool,
      method: message.method ?? '',
      path: message.url ?? '',
      mark: String(message.headers['x-mark'] ?? ''),
      hasKey: message.headers.authorization !== undefined,
      startedAt: Date.now(),
      endedAt: null
    }
    this.ledger.push(entry)
    this._running.set(requestId, entry)
    this.peakRunning = Math.max(this.peakRunning, this._running.size)
    return entry
  }

  private async _readBody (message: IncomingMessage): Promise<Buffer | null> {
    const chunks: Buffer[] = []
    try {
      for await (const chunk of message) chunks.push(chunk as Buffer)
      return Buffer.concat(chunks)
    } catch {
      return null
    }
  }

  private _respond (message: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const { random, virtualMachine } = this._options
    if (response.destroyed) return
    if (random.next() < this.faults.lostAnswerPart) {
      message.socket.destroy()
      return
    }
    if (random.next() < this.faults.failedPart) {
      JsonBody.send(response, { error: 'failed' }, 500)
      return
    }
    if (random.next() < this.faults.crossedPart) response.setHeader('samphireglade-request-id', 'another-request')
    const responseBody = body.length > 0 ? body : Buffer.from(JSON.stringify({ virtualMachine, path: message.url }))
    response.setHeader('content-length', responseBody.length)
    response.setHeader('content-type', String(message.headers['content-type'] ?? 'application/json'))
    if (random.next() < this.faults.truncatedPart) {
      response.write(responseBody.subarray(0, Math.floor(responseBody.length / 2)))
      setTimeout(() => message.socket.destroy(), 5)
      return
    }
    response.end(responseBody)
  }
}
