/**
 * The demo's fleet, with access to it as an operator and to the endpoints' ledgers.
 */
import { readFileSync } from 'node:fs'
import { setTimeout as delay } from 'node:timers/promises'
import { parse } from 'smol-toml'
import { request } from 'undici'
import * as z from 'zod'
import { AdministrationClient } from '../src/command-line/administration-client.js'
import { VirtualMachine } from '../src/schemas/virtual-machine.js'
import type { DemoLayout } from './demo-layout.js'
import type { DemoProcesses } from './demo-processes.js'

/** Time limit for each wait in the demo. */
const WAIT_TIMEOUT_MILLISECONDS = 30_000

/** JSON object in a response of the administration interface. */
type ResponseDocument = Readonly<Record<string, z.core.util.JSONType>>

/** Ledger of a simulated endpoint: the requests that started there, and the number of those that a reboot interrupted. */
const Ledger = z.object({
  cutByReboot: z.number(),
  ledger: z.array(z.object({ requestId: z.string(), mark: z.string(), team: z.string().nullable(), startedAt: z.number() }))
})

/** Starts the daemons and stand-ins, changes and reads the configuration as an operator, and reads the endpoints' ledgers. */
export class DemoFleet {
  readonly client: AdministrationClient
  /** VMs of the deployment file. */
  readonly virtualMachines: readonly VirtualMachine[]

  /**
   * @param _deploymentPath path of the deployment file.
   * @param _workMilliseconds processing time of a request at a simulated endpoint.
   */
  constructor (private readonly _layout: DemoLayout, private readonly _processes: DemoProcesses, private readonly _deploymentPath: string, private readonly _workMilliseconds = 15) {
    this.client = new AdministrationClient(_layout.entryVirtualMachines.map(entryVirtualMachine => `http://127.0.0.1:${entryVirtualMachine.administrationPort}`), _layout.operatorToken)
    const document = parse(readFileSync(_deploymentPath, 'utf8'))
    this.virtualMachines = z.array(VirtualMachine).parse(document['vms'])
  }

  /** Starts the platform, the endpoints and the daemons, and waits until they are ready. */
  async start (): Promise<void> {
    const { platformPort, entryVirtualMachines } = this._layout
    this._processes.start('platform', 'stand-ins/platform.js', ['127.0.0.1', String(platformPort)])
    await this._untilReady(`http://127.0.0.1:${platformPort}/statistics`)
    for (const { id, pool, address } of this.virtualMachines) {
      this._processes.start(id, 'stand-ins/endpoint.js', [address.host, String(address.port), id, pool, String(this._workMilliseconds)])
      await this._registerVirtualMachine(id, address)
    }
    for (const entryVirtualMachine of entryVirtualMachines) {
      await this._registerVirtualMachine(`entry-vm-${entryVirtualMachine.name}`, null)
      this._startDaemons(entryVirtualMachine)
    }
    for (const entryVirtualMachine of entryVirtualMachines) {
      await this._untilReady(`http://127.0.0.1:${entryVirtualMachine.callerPort}/readyz`)
      await this._untilReady(`http://127.0.0.1:${entryVirtualMachine.administrationPort}/readyz`)
    }
  }

  /** Applies the deployment file with the operators' command-line program. */
  async applyDeployment (): Promise<void> {
    const apply = this._processes.start('apply', 'demo/apply-deployment.js', [
      this._deploymentPath, ...this._layout.entryVirtualMachines.map(entryVirtualMachine => String(entryVirtualMachine.administrationPort)), this._layout.operatorToken
    ])
    await new Promise<void>((resolve, reject) => apply.once('exit', code => code === 0 ? resolve() : reject(new Error(`apply exited with code ${code}`))))
  }

  /** Makes a change, waits until it is in force everywhere, and returns the response and the time until then. */
  async change (method: 'PUT' | 'POST' | 'DELETE', path: string, document?: object): Promise<{ milliseconds: number, response: ResponseDocument }> {
    const startedAt = Date.now()
    const result = await this.client.call({ method, path, ...(document ? { document } : {}) })
    if (result.isLeft()) throw result.extract()
    const response = result.extract() as ResponseDocument
    const changeId = String(response['changeId'])
    await this.until(async () => {
      const change = await this.client.call({ method: 'GET', path: `/changes/${changeId}` })
      return change.map(({ isInForceEverywhere }) => isInForceEverywhere === true).orDefault(false)
    }, `change ${path} in force`)
    return { milliseconds: Date.now() - startedAt, response }
  }

  /** Reads a document of the administration interface; returns an empty object if that fails. */
  async read (path: string): Promise<ResponseDocument> {
    const response = await this.client.call({ method: 'GET', path })
    return response.orDefault({})
  }

  /** Reads the ledger of a VM's endpoint. */
  async readLedger (virtualMachine: VirtualMachine): Promise<z.infer<typeof Ledger>> {
    const { body } = await request(`http://${virtualMachine.address.host}:${virtualMachine.address.port}/stand-in/ledger`)
    return Ledger.parse(await body.json())
  }

  /** Polls a condition until it holds. */
  async until (condition: () => Promise<boolean>, description: string): Promise<void> {
    const deadline = Date.now() + WAIT_TIMEOUT_MILLISECONDS
    while (!await condition()) {
      if (Date.now() > deadline) throw new Error(`timed out waiting for: ${description}`)
      await delay(50)
    }
  }

  /** Starts the entry daemon and the control daemon of one entry VM. */
  private _startDaemons (entryVirtualMachine: DemoLayout['entryVirtualMachines'][number]): void {
    const entrySettingsPath = this._processes.writeSettings(`entry-${entryVirtualMachine.name}.toml`, this._layout.entrySettings(entryVirtualMachine))
    const controlSettingsPath = this._processes.writeSettings(`control-${entryVirtualMachine.name}.toml`, this._layout.controlSettings(entryVirtualMachine))
    this._processes.start(`entry-${entryVirtualMachine.name}`, 'src/main/samphireglade-entry.js', ['--settings', entrySettingsPath])
    this._processes.start(`control-${entryVirtualMachine.name}`, 'src/main/samphireglade-control.js', ['--settings', controlSettingsPath])
  }

  /** Registers a VM with the platform; the address is null for an entry VM. */
  private async _registerVirtualMachine (id: string, address: VirtualMachine['address'] | null): Promise<void> {
    const { body } = await request(`http://127.0.0.1:${this._layout.platformPort}/virtual-machines`, { method: 'POST', body: JSON.stringify({ id, address }) })
    await body.dump()
  }

  /** Waits until a URL responds with status 200. */
  private async _untilReady (url: string): Promise<void> {
    await this.until(async () => {
      try {
        const { statusCode, body } = await request(url)
        await body.dump()
        return statusCode === 200
      } catch {
        return false
      }
    }, url)
  }
}
