/**
 * The demo's fleet as operators and endpoints see it.
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

/** Longest wait for anything in the demo, in milliseconds. */
const WAIT_MILLISECONDS = 30_000

/** A document of the administration interface. */
type Answer = Readonly<Record<string, z.core.util.JSONType>>

const Ledger = z.object({
  cutByReboot: z.number(),
  ledger: z.array(z.object({ requestId: z.string(), mark: z.string(), team: z.string().nullable(), startedAt: z.number() }))
})

/** Starts the daemons and stand-ins and talks to them. */
export class DemoFleet {
  readonly client: AdministrationClient
  readonly machines: readonly VirtualMachine[]

  constructor (private readonly _layout: DemoLayout, private readonly _processes: DemoProcesses, private readonly _deployment: string, private readonly _workMilliseconds = 15) {
    this.client = new AdministrationClient(_layout.sites.map(site => `http://127.0.0.1:${site.administration}`), _layout.token)
    const document = parse(readFileSync(_deployment, 'utf8'))
    this.machines = z.array(VirtualMachine).parse(document['vms'])
  }

  /** Starts everything and waits until it is ready. */
  async start (): Promise<void> {
    const { platformPort, sites } = this._layout
    this._processes.start('platform', 'stand-ins/platform.js', ['127.0.0.1', String(platformPort)])
    await this._untilAnswers(`http://127.0.0.1:${platformPort}/statistics`)
    for (const { id, pool, address } of this.machines) {
      this._processes.start(id, 'stand-ins/endpoint.js', [address.host, String(address.port), id, pool, String(this._workMilliseconds)])
      await this._register(id, address)
    }
    for (const site of sites) {
      await this._register(`entry-vm-${site.name}`, null)
      this._startSite(site)
    }
    for (const site of sites) {
      await this._untilAnswers(`http://127.0.0.1:${site.callers}/readyz`)
      await this._untilAnswers(`http://127.0.0.1:${site.administration}/readyz`)
    }
  }

  /** Publishes the deployment with the operators' program. */
  async publish (): Promise<void> {
    const apply = this._processes.start('apply', 'demo/apply-deployment.js', [this._deployment, ...this._layout.sites.map(site => String(site.administration)), this._layout.token])
    await new Promise<void>((resolve, reject) => apply.once('exit', code => code === 0 ? resolve() : reject(new Error(`apply ended with ${code}`))))
  }

  /** Makes a change, waits until it is in force everywhere, and returns the milliseconds that this took. */
  async change (method: 'PUT' | 'POST' | 'DELETE', path: string, document?: object): Promise<{ milliseconds: number, answer: Answer }> {
    const startedAt = Date.now()
    const result = await this.client.call({ method, path, ...(document ? { document } : {}) })
    if (result.isLeft()) throw result.extract()
    const answer = result.extract() as Answer
    const changeId = String(answer['changeId'])
    await this.until(async () => {
      const change = await this.client.call({ method: 'GET', path: `/changes/${changeId}` })
      return change.map(({ isInForceEverywhere }) => isInForceEverywhere === true).orDefault(false)
    }, `change ${path} in force`)
    return { milliseconds: Date.now() - startedAt, answer }
  }

  /** One object as operators see it. */
  async read (path: string): Promise<Answer> {
    const answer = await this.client.call({ method: 'GET', path })
    return answer.orDefault({})
  }

  /** What a VM's endpoint has run. */
  async ledger (machine: VirtualMachine): Promise<z.infer<typeof Ledger>> {
    const { body } = await request(`http://${machine.address.host}:${machine.address.port}/stand-in/ledger`)
    return Ledger.parse(await body.json())
  }

  /** Waits for a condition. */
  async until (condition: () => Promise<boolean>, what: string): Promise<void> {
    const deadline = Date.now() + WAIT_MILLISECONDS
    while (!await condition()) {
      if (Date.now() > deadline) throw new Error(`waited too long: ${what}`)
      await delay(50)
    }
  }

  /** Starts the daemons of one entry VM. */
  private _startSite (site: DemoLayout['sites'][number]): void {
    const entry = this._processes.write(`entry-${site.name}.toml`, this._layout.entrySettings(site))
    const control = this._processes.write(`control-${site.name}.toml`, this._layout.controlSettings(site))
    this._processes.start(`entry-${site.name}`, 'src/main/samphireglade-entry.js', ['--settings', entry])
    this._processes.start(`control-${site.name}`, 'src/main/samphireglade-control.js', ['--settings', control])
  }

  private async _register (id: string, address: VirtualMachine['address'] | null): Promise<void> {
    const { body } = await request(`http://127.0.0.1:${this._layout.platformPort}/virtual-machines`, { method: 'POST', body: JSON.stringify({ id, address }) })
    await body.dump()
  }

  private async _untilAnswers (url: string): Promise<void> {
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
