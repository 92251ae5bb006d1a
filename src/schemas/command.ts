/**
 * The union of all commands in the log.
 */
import * as z from 'zod'
import { ActivatePresetCommand } from './activate-preset-command.js'
import { AvailabilityZoneCommand } from './availability-zone-command.js'
import { ClaimCommand } from './claim-command.js'
import { GrantCommand } from './grant-command.js'
import { KeyCommand } from './key-command.js'
import { LeaseCommand } from './lease-command.js'
import { MemberCommand } from './member-command.js'
import { PutCommand } from './put-command.js'
import { RemoveCommand } from './remove-command.js'
import { TaskCommand } from './task-command.js'
import { VirtualMachineCommand } from './virtual-machine-command.js'
import { WaveCommand } from './wave-command.js'

/** A command that the fold accepts or refuses. */
export const Command = z.discriminatedUnion('kind', [
  PutCommand,
  RemoveCommand,
  KeyCommand,
  ActivatePresetCommand,
  AvailabilityZoneCommand,
  VirtualMachineCommand,
  MemberCommand,
  GrantCommand,
  LeaseCommand,
  ClaimCommand,
  WaveCommand,
  TaskCommand
])
export type Command = z.infer<typeof Command>
