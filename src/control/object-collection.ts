/**
 * Base class of the collections of configuration objects in the administration interface.
 */
import { Either, Left } from 'purify-ts/Either'
import type * as z from 'zod'
import type { Command } from '../schemas/command.js'
import type { RemoveCommand } from '../schemas/remove-command.js'
import type { FleetState } from '../state/fleet-state.js'
import { AdministrationProblem } from './administration-problem.js'
import { parseDocument } from './parse-document.js'
import type { ObjectView } from './object-view.js'

/** A collection: its name, its schema, and how its objects are listed and put. */
export abstract class ObjectCollection<T extends object = object> {
  /** Name in paths and commands. */
  abstract readonly name: RemoveCommand['collection']

  /** Schema of a document. A name in the path takes precedence over one in the document. */
  abstract readonly schema: z.ZodType<T>

  /** Field of the document that holds the object's name. Default: `name`. */
  protected readonly nameField: string = 'name'

  /** All objects, as operators see them. */
  abstract list (state: FleetState): ObjectView[]

  /** The command that puts an object. */
  protected abstract command (value: T, expectedVersion: number): Command

  /** The object with the given name, or undefined. */
  find (state: FleetState, name: string): ObjectView | undefined {
    return this.list(state).find(object => object.name === name)
  }

  /** Parses a document and makes the command that puts it. */
  parse (document: unknown, name: string, expectedVersion: number): Either<AdministrationProblem, Command> {
    if (typeof document !== 'object' || document === null) return Left(new AdministrationProblem('invalid', 'the document must be an object'))
    return parseDocument(this.schema, { ...document, [this.nameField]: name }).map(value => this.command(value, expectedVersion))
  }
}
