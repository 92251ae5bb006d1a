/**
 * HTTP server that simulates the platform: log service, list of VMs, reboots and workers. For development and tests only.
 */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import polka from 'polka'
import { request } from 'undici'
import { SystemClock } from '../src/supervision/system-clock.js'
import { JsonBody } from './json-body.js'
import { PlatformFaults } from './platform-faults.js'
import { PlatformLogStore } from './platform-log-store.js'
import { SimulatedWorkers } from './simulated-workers.js'

/** A VM that is registered with the platform. */
interface PlatformVirtualMachine {
  readonly id: string
  /** Address of the endpoint, or null for an entry VM. */
  readonly address: { host: string, port: number } | null
  state: 'live' | 'leaving'
  /** State of each reboot by its intent ID; a repeated order doesn't reboot again. */
  readonly rebootsByIntent: Map<string, 'pending' | 'done'>
}

/** Serves the platform's interfaces; `/faults` changes the fault settings. */
export class PlatformServer {
  readonly log = new PlatformLogStore()
  readonly workers = new SimulatedWorkers(new SystemClock())
  faults: PlatformFaults = PlatformFaults.parse({})
  private readonly _virtualMachines = new Map<string, PlatformVirtualMachine>()
  private readonly _listings: { time: number, virtualMachines: { id: string, state: 'live' | 'leaving' }[] }[] = []
  private readonly _server: Server

  constructor () {
    this._server = createServer()
    const application = polka({ server: this._server, onError: (error, _message, response) => JsonBody.send(response, { error: String(error) }, 400) })
    application.use((message, response, next) => { void this._applyFaults(message, response, next) })
    application.post('/log/records', (message, response) => this._append(message, response))
    application.get('/log/records', (message, response) => this._read(message, response))
    application.get('/virtual-machines', (_message, response) => this._list(response))
    application.post('/virtual-machines', (message, response) => this._register(message, response))
    application.delete('/virtual-machines/:id', (message, response) => this._remove(message.params['id'] ?? '', response))
    application.post('/virtual-machines/:id/reboot', (message, response) => this._reboot(message.params['id'] ?? '', message, response))
    application.get('/workers/reports', (_message, response) => JsonBody.send(response, { reports: this.workers.reports() }))
    application.post('/workers/:id/runs', (message, response) => this._startRun(message.params['id'] ?? '', message, response))
    application.post('/workers/:id/stops', (message, response) => this._stopRun(message.params['id'] ?? '', message, response))
    application.post('/faults', (message, response) => this._setFaults(message, response))
    application.get('/statistics', (_message, response) => JsonBody.send(response, { appends: this.log.appends, nextOffset: this.log.nextOffset }))
    const handle = application.handler as unknown as (message: IncomingMessage, response: ServerResponse) => void
    this._server.on('request', (message, response) => { handle(message, response) })
  }

  /** Starts listening and returns the port; port 0 selects a free one. */
  async listen (host: string, port: number): Promise<number> {
    this._server.listen(port, host)
    await once(this._server, 'listening')
    return (this._server.address() as AddressInfo).port
  }

  /** Closes all connections and the server. */
  async close (): Promise<void> {
    this._server.closeAllConnections()
    this._server.close()
    await once(this._server, 'close').catch(() => {})
  }

  /** Registers a VM; the address is null for an entry VM. */
  addVirtualMachine (id: string, address: { host: string, port: number } | null): void {
    this._virtualMachines.set(id, { id, address, state: 'live', rebootsByIntent: new Map() })
    this._recordListing()
  }

  /** Removes a VM from the list. */
  removeVirtualMachine (id: string): void {
    this._virtualMachines.delete(id)
    this._recordListing()
  }

  private async _applyFaults (message: IncomingMessage, response: ServerResponse, next: () => void): Promise<void> {
    if (message.url?.startsWith('/faults') || message.url?.startsWith('/statistics')) {
      next()
      return
    }
    if (this.faults.isDown) {
      message.socket.destroy()
      return
    }
    if (this.faults.slowMilliseconds > 0) await delay(this.faults.slowMilliseconds)
    if (!response.destroyed) next()
  }

  private async _append (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { records } = await JsonBody.read(message) as { records: unknown[] }
    const firstOffset = this.log.append(records)
    this.log.retain(this.faults.retainedRecords)
    if (this.faults.lostAppendAnswers > 0) {
      this.faults = { ...this.faults, lostAppendAnswers: this.faults.lostAppendAnswers - 1 }
      response.destroy()
      return
    }
    JsonBody.send(response, { firstOffset })
  }

  private async _read (message: IncomingMessage & { query: Record<string, string> }, response: ServerResponse): Promise<void> {
    const from = Number(message.query['from'])
    const limit = Number(message.query['limit'])
    const waitDeadline = Number(message.query['wait-deadline'])
    if (this.log.nextOffset <= from && Date.now() < waitDeadline) {
      const timerController = new AbortController()
      await Promise.race([this.log.nextAppend(), delay(waitDeadline - Date.now(), undefined, { signal: timerController.signal }).catch(() => {})])
      timerController.abort()
    }
    if (this.faults.isDown || response.destroyed) {
      response.destroy()
      return
    }
    const { earliestOffset, nextOffset } = this.log
    JsonBody.send(response, { earliestOffset, nextOffset, records: this.log.read(from, limit) })
  }

  private _list (response: ServerResponse): void {
    const asOf = Date.now() - this.faults.listLagMilliseconds
    const listing = this._listings.findLast(candidate => candidate.time <= asOf)
    JsonBody.send(response, { asOf, virtualMachines: listing?.virtualMachines ?? [] })
  }

  private async _register (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { id, address } = await JsonBody.read(message) as { id: string, address: { host: string, port: number } | null }
    this.addVirtualMachine(id, address)
    JsonBody.send(response, {})
  }

  private _remove (id: string, response: ServerResponse): void {
    this.removeVirtualMachine(id)
    JsonBody.send(response, {})
  }

  private async _reboot (id: string, message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { intentId, pool } = await JsonBody.read(message) as { intentId: string, pool: string }
    const virtualMachine = this._virtualMachines.get(id)
    if (!virtualMachine) {
      JsonBody.send(response, { error: 'no such VM' }, 404)
      return
    }
    if (!virtualMachine.rebootsByIntent.has(intentId)) {
      virtualMachine.rebootsByIntent.set(intentId, 'pending')
      void this._rebootEndpoint(virtualMachine, intentId, pool)
    }
    JsonBody.send(response, { state: virtualMachine.rebootsByIntent.get(intentId) })
  }

  private async _rebootEndpoint (virtualMachine: PlatformVirtualMachine, intentId: string, pool: string): Promise<void> {
    if (this.faults.ignoresReboots || !virtualMachine.address) return
    const { host, port } = virtualMachine.address
    await request(`http://${host}:${port}/stand-in/reboot`, {
      method: 'POST',
      body: JSON.stringify({ pool, milliseconds: this.faults.rebootMilliseconds })
    }).then(({ body }) => body.dump()).catch(() => {})
    virtualMachine.rebootsByIntent.set(intentId, 'done')
  }

  private async _startRun (worker: string, message: IncomingMessage, response: ServerResponse): Promise<void> {
    this.workers.start(worker, await JsonBody.read(message) as Parameters<SimulatedWorkers['start']>[1])
    JsonBody.send(response, {})
  }

  private async _stopRun (worker: string, message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { task, token } = await JsonBody.read(message) as { task: string, token: number }
    this.workers.stop(worker, task, token)
    JsonBody.send(response, {})
  }

  private async _setFaults (message: IncomingMessage, response: ServerResponse): Promise<void> {
    this.faults = PlatformFaults.parse({ ...this.faults, ...await JsonBody.read(message) as object })
    this.log.retain(this.faults.retainedRecords)
    JsonBody.send(response, this.faults)
  }

  private _recordListing (): void {
    const virtualMachines = [...this._virtualMachines.values()].map(({ id, state }) => ({ id, state }))
    this._listings.push({ time: Date.now(), virtualMachines })
  }
}
