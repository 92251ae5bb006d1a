/**
 * The command that activates a preset.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** Activates a preset in place of the previous one. */
export const ActivatePresetCommand = z.object({
  kind: z.literal('activate-preset'),
  preset: Name,
  /** Offset of the activation in force when the author wrote the command; 0 for none. */
  expectedVersion: z.number().int().min(0)
})
export type ActivatePresetCommand = z.infer<typeof ActivatePresetCommand>
