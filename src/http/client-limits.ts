/**
 * Derives the bounds on clients from the settings.
 */
import type { ClientSettings } from '../settings/client-settings.js'
import type { MachineSettings } from '../settings/machine-settings.js'
import type { ClientBounds } from './client-bounds.js'

/** Connections for each megabyte of the VM's memory: an open connection takes about 20 KB, and up to 16 KB of unfinished headers. */
const CONNECTIONS_PER_MEGABYTE = 4

/** Descriptors for files, and those reserved for the store, workers, peers, readiness and metrics. */
const RESERVED_DESCRIPTORS = 200 + 512

/** Lowest number of connections that is derived, however few descriptors there are. */
const MINIMUM_CONNECTIONS = 16

/** Part of the connections that one remote address may have: all callers may come through one address of the load balancer. */
const ADDRESS_PART = 0.75

/** Part of the memory that bodies may take. */
const BODY_PART = 1 / 8

/** Bytes of a megabyte. */
const MEGABYTE = 1_048_576

/** Derives the bounds that the settings leave open from the size of the VM. */
export function clientLimits (settings: ClientSettings, { memoryMegabytes, maximumDescriptors }: MachineSettings): ClientBounds {
  const byDescriptors = Math.max(MINIMUM_CONNECTIONS, Math.floor((maximumDescriptors - RESERVED_DESCRIPTORS) / 2))
  const maximumConnections = settings.maximumConnections ?? Math.min(Math.floor(CONNECTIONS_PER_MEGABYTE * memoryMegabytes), byDescriptors)
  return {
    ...settings,
    maximumConnections,
    maximumConnectionsPerAddress: settings.maximumConnectionsPerAddress ?? Math.ceil(ADDRESS_PART * maximumConnections),
    maximumTotalBodyBytes: settings.maximumTotalBodyBytes ?? Math.floor(BODY_PART * memoryMegabytes * MEGABYTE)
  }
}
