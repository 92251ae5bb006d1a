/**
 * Plans and starts a maintenance wave.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import * as z from 'zod'
import type { Finding } from '../schemas/finding.js'
import { Name } from '../schemas/name.js'
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import type { StateKeeper } from '../state/state-keeper.js'
import { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ChangeSubmitter } from './change-submitter.js'
import { parseDocument } from './parse-document.js'
import type { WavePlanner } from './wave-planner.js'

const NameList = z.array(Name).max(10_000).default([])

const WaveDocument = z.object({
  name: Name,
  /** VMs by id. */
  vms: NameList,
  /** All VMs of these racks. */
  racks: NameList,
  /** All VMs of these pools. */
  pools: NameList,
  /** All VMs of these availability zones. */
  availabilityZones: NameList,
  /** Limit on VMs out of service at once, in addition to the availability budgets. */
  maximumAtOnce: z.number().int().min(1).max(10_000).default(10_000),
  /** Whether to return the plan without starting the wave. */
  dryRun: z.boolean().default(false)
}).strict()
type WaveDocument = z.infer<typeof WaveDocument>

/** `POST /maintenance`. */
export class StartWaveRoute extends AdministrationRoute {
  override readonly method = 'POST'
  override readonly path = '/maintenance'
  override readonly summary = 'Plans a maintenance wave over VMs, racks, pools or zones and starts it'
  override readonly documentSchema = WaveDocument

  constructor (private readonly _keeper: StateKeeper, private readonly _planner: WavePlanner, private readonly _submitter: ChangeSubmitter) {
    super()
  }

  override async handle ({ document, changeId }: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const parsed = parseDocument(WaveDocument, document).chain(wave => this._check(wave))
    if (parsed.isLeft()) return Left(parsed.extract() as AdministrationProblem)
    const wave = parsed.extract() as WaveDocument
    const plan = this._planner.plan(this._keeper.state, this._select(wave), wave.maximumAtOnce)
    if (wave.dryRun) return Right({ status: 200, document: { status: 'planned', plan }, version: null })
    const { name, maximumAtOnce } = wave
    return this._submitter.submit({ kind: 'start-wave', name, order: plan.order, maximumAtOnce }, changeId, { plan })
  }

  private _check (wave: WaveDocument): Either<AdministrationProblem, WaveDocument> {
    const findings = wave.vms.flatMap((id, index): Finding[] => this._keeper.state.virtualMachines.has(id)
      ? []
      : [{ path: `$.vms[${index}]`, code: 'not-found', message: `VM ${id} does not exist` }])
    if (findings.length === 0 && this._select(wave).length === 0) findings.push({ path: '$', code: 'invalid', message: 'no VM is chosen' })
    return findings.length > 0 ? Left(new AdministrationProblem('invalid', 'the wave cannot be planned', findings)) : Right(wave)
  }

  private _select (wave: WaveDocument): VirtualMachineState[] {
    return [...this._keeper.state.virtualMachines.values()].filter(({ value }) =>
      wave.vms.includes(value.id) || wave.racks.includes(value.rack) ||
      wave.pools.includes(value.pool) || wave.availabilityZones.includes(value.availabilityZone))
  }
}
