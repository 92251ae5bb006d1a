/**
 * The bounds on clients that are in force in a process.
 */
import type { ClientSettings } from '../settings/client-settings.js'

/** The settings with all bounds. */
export type ClientBounds = { readonly [Bound in keyof ClientSettings]-?: NonNullable<ClientSettings[Bound]> }
