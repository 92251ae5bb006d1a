/**
 * Lists and controls VMs over the platform's protocol.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import * as z from 'zod'
import type { FleetVirtualMachine } from '../capacity/fleet-virtual-machine.js'
import type { FleetVirtualMachineList } from '../capacity/fleet-virtual-machine-list.js'
import { FleetVirtualMachineControl } from '../capacity/fleet-virtual-machine-control.js'
import { VirtualMachineError } from '../capacity/virtual-machine-error.js'
import { listOf } from '../schemas/list-of.js'
import type { CallClient } from './call-client.js'
import { parseJson } from './parse-json.js'
import { WireResources } from './wire-resources.js'

/** Error kinds for the reasons given with status 409. */
const CONFLICT_ERROR_KINDS: Readonly<Record<string, VirtualMachineError['kind']>> = { fence: 'fenced', busy: 'busy', wave: 'not-in-wave' }

/** VM states by their names on the wire. */
const VIRTUAL_MACHINE_STATES = { up: 'up', moving: 'moving', upkeep: 'maintenance', down: 'down' } as const

const WireVirtualMachine = z.object({
  machine: z.string(),
  pool: z.string(),
  // A VM in a state of another name can't be used, like one that is down.
  state: z.enum(['up', 'moving', 'upkeep', 'down']).catch('down'),
  zone: z.string().default(''),
  labels: listOf(z.string()).default([]),
  capacity: WireResources.prefault({}),
  // ID of the worker that currently runs on the VM.
  id: z.string().nullish()
}).transform((row): FleetVirtualMachine => ({
  id: row.machine, pool: row.pool, state: VIRTUAL_MACHINE_STATES[row.state], availabilityZone: row.zone, labels: row.labels, capacity: row.capacity, worker: row.id ?? ''
}))

const VirtualMachinePage = z.object({ machines: z.array(z.unknown()), next_page_token: z.union([z.string(), z.number()]).nullish() })
const RefusalResponse = z.object({ reason: z.string().default('') })

/** Each order carries the lease holder and its term as the fencing token. */
export class HttpFleetVirtualMachineControl extends FleetVirtualMachineControl {
  /** @param _holder name of this process as the lease holder. */
  constructor (private readonly _client: CallClient, private readonly _holder: string) {
    super()
  }

  override async list (deadline: number, signal: AbortSignal): Promise<Either<VirtualMachineError, FleetVirtualMachineList>> {
    const virtualMachines: FleetVirtualMachine[] = []
    let unreadableRows = 0
    for (let pageToken = ''; ;) {
      const path = `/samphireglade/machines${pageToken === '' ? '' : `?page_token=${encodeURIComponent(pageToken)}`}`
      const response = await this._client.call({ method: 'GET', path, deadline, signal })
      if (response.isLeft()) return Left(new VirtualMachineError('unsent', (response.extract() as Error).message))
      const { status, body } = response.unsafeCoerce()
      if (status !== 200) return Left(new VirtualMachineError('overload', `the platform returned status ${status}`))
      const page = parseJson(VirtualMachinePage, body)
      if (page.isLeft()) return Left(new VirtualMachineError('unknown', page.extract() as string))
      const { machines: rows, next_page_token: next } = page.unsafeCoerce()
      for (const row of rows) {
        const parsed = WireVirtualMachine.safeParse(row)
        if (parsed.success) virtualMachines.push(parsed.data)
        else unreadableRows += 1
      }
      if (next === null || next === undefined || next === '') return Right({ virtualMachines, unreadableRows })
      pageToken = String(next)
    }
  }

  override move (virtualMachine: string, pool: string, term: number, deadline: number, signal: AbortSignal): Promise<Either<VirtualMachineError, void>> {
    return this._order('machine-move', { machine: virtualMachine, pool }, term, deadline, signal)
  }

  override maintain (virtualMachine: string, wave: number, term: number, deadline: number, signal: AbortSignal): Promise<Either<VirtualMachineError, void>> {
    return this._order('machine-upkeep', { machine: virtualMachine, wave }, term, deadline, signal)
  }

  private async _order (operation: string, body: object, term: number, deadline: number, signal: AbortSignal): Promise<Either<VirtualMachineError, void>> {
    const headers = { 'lease-holder': this._holder, 'fencing-token': String(term) }
    const response = await this._client.call({ method: 'POST', path: `/samphireglade/${operation}`, headers, body, deadline, signal })
    if (response.isLeft()) {
      const failure = response.extract() as Error & { kind: 'unsent' | 'unknown' }
      return Left(new VirtualMachineError(failure.kind, failure.message))
    }
    const { status, body: responseBody } = response.unsafeCoerce()
    if (status === 200) return Right(undefined)
    if (status === 400) return Left(new VirtualMachineError('missing', `the platform returned status 400: ${responseBody.toString('utf8').slice(0, 100)}`))
    if (status === 429 || status === 503) return Left(new VirtualMachineError('overload', `the platform returned status ${status}`))
    const reason = parseJson(RefusalResponse, responseBody).map(refused => refused.reason).orDefault('')
    return Left(new VirtualMachineError(status === 409 ? CONFLICT_ERROR_KINDS[reason] ?? 'busy' : 'unknown', `the platform returned status ${status}: ${reason}`))
  }
}
