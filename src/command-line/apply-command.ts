/**
 * The command `samphireglade apply`.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import stringify from 'safe-stable-stringify'
import * as z from 'zod'
import { findingsOf } from '../schemas/findings-of.js'
import { Pool } from '../schemas/pool.js'
import { Preset } from '../schemas/preset.js'
import { Queue } from '../schemas/queue.js'
import { Team } from '../schemas/team.js'
import { VirtualMachine } from '../schemas/virtual-machine.js'
import type { CommandContext } from './command-context.js'
import { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'
import { readToml } from './read-toml.js'

/** Content of a deployment file: the objects of each collection. */
const Deployment = z.object({
  pools: z.array(Pool).default([]),
  queues: z.array(Queue).default([]),
  teams: z.array(Team).default([]),
  vms: z.array(VirtualMachine).default([]),
  presets: z.array(Preset).default([])
}).strict()
type Deployment = z.infer<typeof Deployment>

/** Collections in the order in which they are put: each after those that it refers to. */
const COLLECTIONS = ['pools', 'queues', 'teams', 'vms', 'presets'] as const

/** Puts all objects of a deployment file that are new or differ from the current ones. */
export class ApplyCommand extends OperatorCommand {
  override readonly usage = 'apply <file>'
  override readonly summary = 'Put every object of a deployment file that is new or differs'

  override async run (args: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    const path = this.stringArgument(args, 'file')
    const deployment = readToml(path).chain(document => this._parse(path, document))
    if (deployment.isLeft()) return Left(deployment.extract() as CommandError)
    for (const collection of COLLECTIONS) {
      for (const object of (deployment.extract() as Deployment)[collection]) {
        const result = await this._put(collection, object, context)
        if (result.isLeft()) return result
      }
    }
    return Right(undefined)
  }

  private _parse (path: string, document: object): Either<CommandError, Deployment> {
    const parsed = Deployment.safeParse(document)
    if (parsed.success) return Right(parsed.data)
    return Left(new CommandError('usage', 'the deployment file is invalid', findingsOf(parsed.error, path)))
  }

  private async _put (
    collection: typeof COLLECTIONS[number], object: Deployment[typeof COLLECTIONS[number]][number], context: CommandContext
  ): Promise<Either<CommandError, void>> {
    const name = 'id' in object ? object.id : object.name
    const path = `/${collection}/${name}`
    const response = await context.client.call({ method: 'GET', path })
    if (response.isLeft() && (response.extract() as CommandError).kind === 'unreachable') return Left(response.extract() as CommandError)
    const current = response.orDefault({})
    const comparable = Object.fromEntries(Object.keys(object).map(key => [key, current[key]]))
    if (stringify(comparable) === stringify(object)) return Right(undefined)
    console.error(`${collection}/${name}`)
    return this.change('PUT', path, object, { ...context, changeId: `${context.changeId}-${collection}-${name}`.slice(0, 128) })
  }
}
