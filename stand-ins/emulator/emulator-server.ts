/**
 * HTTP servers for the platform emulator.
 */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { PlatformEmulator } from './platform-emulator.js'

/** Serves each emulated address on a loopback port of its own. */
export class EmulatorServer {
  private readonly _servers: Server[] = []

  constructor (private readonly _emulator: PlatformEmulator) {}

  /** Starts serving an emulated address on a free port and returns the real address, as IP address and port. */
  async serve (address: string): Promise<string> {
    return this.serveAt(address, '127.0.0.1:0')
  }

  /** Starts serving an emulated address at a real one and returns the latter, as IP address and port. */
  async serveAt (address: string, realAddress: string): Promise<string> {
    const [host = '', port] = realAddress.split(':')
    const server = createServer((message, response) => {
      this._respond(address, message, response).catch(() => response.destroy())
    })
    this._servers.push(server)
    server.listen(Number(port), host)
    await once(server, 'listening')
    return `${host}:${(server.address() as AddressInfo).port}`
  }

  /** Closes all servers and their connections. */
  close (): void {
    for (const server of this._servers) {
      server.closeAllConnections()
      server.close()
    }
  }

  /** Sends the emulator's response; if it gives none, the connection stays open without one, unless nothing is at the address any more. */
  private async _respond (address: string, message: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of message as AsyncIterable<Buffer>) chunks.push(chunk)
    const headers = Object.fromEntries(Object.entries(message.headers).map(([name, value]) => [name, String(value)]))
    const result = await this._emulator.handle({ caller: 'http', address, path: message.url ?? '/', headers, body: Buffer.concat(chunks) })
    if (!result) {
      // The process behind the address has ended.
      if (this._emulator.refusesConnections(address)) message.socket.resetAndDestroy()
      return
    }
    response.statusCode = result.status
    response.end(result.body)
  }
}
