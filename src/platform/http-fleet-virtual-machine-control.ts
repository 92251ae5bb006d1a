/**
 * Orders to VMs over the platform's protocol.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import * as z from 'zod'
import type { FleetVirtualMachine } from '../capacity/fleet-virtual-machine.js'
import { FleetVirtualMachineControl } from '../capacity/fleet-virtual-machine-control.js'
import { VirtualMachineError } from '../capacity/virtual-machine-error.js'
import type { CallClient } from './call-client.js'
import { parseJson } from './parse-json.js'
import { WireResources } from './wire-resources.js'

/** Reasons of a 409. */
const REFUSALS: Readonly<Record<string, VirtualMachineError['kind']>> = { fence: 'fenced', busy: 'busy', wave: 'not-in-wave' }

/** States on the wire. */
const STATES = { up: 'up', moving: 'moving', upkeep: 'maintenance', down: 'down' } as const

const WireMachine = z.object({
  machine: z.string(),
  pool: z.string(),
  state: z.enum(['up', 'moving', 'upkeep', 'down']),
  zone: z.string().default(''),
  labels: z.array(z.string()).default([]),
  capacity: WireResources.prefault({}),
  // The worker that the VM is at present.
  id: z.string().nullish()
}).transform((row): FleetVirtualMachine => ({
  id: row.machine, pool: row.pool, state: STATES[row.state], availabilityZone: row.zone, labels: row.labels, capacity: row.capacity, worker: row.id ?? ''
}))

const Page = z.object({ machines: z.array(WireMachine), next_page_token: z.union([z.string(), z.number()]).nullish() })
const Refused = z.object({ reason: z.string().default('') })

/** Orders carry the holder and its term. */
export class HttpFleetVirtualMachineControl extends FleetVirtualMachineControl {
  /** @param _holder name of this process. */
  constructor (private readonly _client: CallClient, private readonly _holder: string) {
    super()
  }

  override async list (deadline: number, signal: AbortSignal): Promise<Either<VirtualMachineError, FleetVirtualMachine[]>> {
    const machines: FleetVirtualMachine[] = []
    for (let token = ''; ;) {
      const path = `/samphireglade/machines${token === '' ? '' : `?page_token=${encodeURIComponent(token)}`}`
      const answer = await this._client.call({ method: 'GET', path, deadline, signal })
      if (answer.isLeft()) return Left(new VirtualMachineError('unsent', (answer.extract() as Error).message))
      const { status, body } = answer.unsafeCoerce()
      if (status !== 200) return Left(new VirtualMachineError('overload', `the platform answered ${status}`))
      const page = parseJson(Page, body)
      if (page.isLeft()) return Left(new VirtualMachineError('unknown', page.extract() as string))
      const { machines: rows, next_page_token: next } = page.unsafeCoerce()
      machines.push(...rows)
      if (next === null || next === undefined || next === '') return Right(machines)
      token = String(next)
    }
  }

  override move (virtualMachine: string, pool: string, term: number, deadline: number, signal: AbortSignal): Promise<Either<VirtualMachineError, void>> {
    return this._order('machine-move', { machine: virtualMachine, pool }, term, deadline, signal)
  }

  override maintain (virtualMachine: string, wave: number, term: number, deadline: number, signal: AbortSignal): Promise<Either<VirtualMachineError, void>> {
    return this._order('machine-upkeep', { machine: virtualMachine, wave }, term, deadline, signal)
  }

  private async _order (call: string, body: object, term: number, deadline: number, signal: AbortSignal): Promise<Either<VirtualMachineError, void>> {
    const headers = { 'lease-holder': this._holder, 'fencing-token': String(term) }
    const answer = await this._client.call({ method: 'POST', path: `/samphireglade/${call}`, headers, body, deadline, signal })
    if (answer.isLeft()) {
      const failure = answer.extract() as Error & { kind: 'unsent' | 'unknown' }
      return Left(new VirtualMachineError(failure.kind, failure.message))
    }
    const { status, body: text } = answer.unsafeCoerce()
    if (status === 200) return Right(undefined)
    if (status === 400) return Left(new VirtualMachineError('missing', `the platform answered 400: ${text.toString('utf8').slice(0, 100)}`))
    if (status === 429 || status === 503) return Left(new VirtualMachineError('overload', `the platform answered ${status}`))
    const reason = parseJson(Refused, text).map(refused => refused.reason).orDefault('')
    return Left(new VirtualMachineError(status === 409 ? REFUSALS[reason] ?? 'busy' : 'unknown', `the platform answered ${status}: ${reason}`))
  }
}
