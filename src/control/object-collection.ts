/**
 * A collection of configuration objects in the administration interface.
 */
import { Either, Left } from 'purify-ts/Either'
import type * as z from 'zod'
import type { Command } from '../schemas/command.js'
import type { RemoveCommand } from '../schemas/remove-command.js'
import type { FleetState } from '../state/fleet-state.js'
import { AdministrationProblem } from './administration-problem.js'
import { readDocument } from './read-document.js'
import type { ShownObject } from './shown-object.js'

/** What differs between pools, VMs, teams, queues and presets. */
export abstract class ObjectCollection<T extends object = object> {
  /** Name in paths. */
  abstract readonly name: RemoveCommand['collection']

  /** Schema of a document; the name in the path goes before one in the document. */
  abstract readonly schema: z.ZodType<T>

  /** Field that holds the name. Default: `name`. */
  protected readonly nameField: string = 'name'

  /** All objects. */
  abstract list (state: FleetState): ShownObject[]

  /** The command that puts an object. */
  protected abstract command (value: T, expectedVersion: number): Command

  /** One object, or undefined. */
  find (state: FleetState, name: string): ShownObject | undefined {
    return this.list(state).find(object => object.name === name)
  }

  /** Reads a document into the command that puts it. */
  read (document: unknown, name: string, expectedVersion: number): Either<AdministrationProblem, Command> {
    if (typeof document !== 'object' || document === null) return Left(new AdministrationProblem('invalid', 'the document must be an object'))
    return readDocument(this.schema, { ...document, [this.nameField]: name }).map(value => this.command(value, expectedVersion))
  }
}
