/**
 * Settings for the memory and descriptors of the VM that a process runs on.
 */
import * as z from 'zod'

/** Memory assumed if the settings state none: that of the smallest VMs, in megabytes. */
const DEFAULT_MEMORY_MEGABYTES = 250

/** Descriptors assumed if the settings state none: those of the smallest VMs. */
const DEFAULT_MAXIMUM_DESCRIPTORS = 4_100

/** A quantity that is empty or 0 if the platform doesn't state it. */
const OptionalQuantity = z.coerce.number().min(0).default(0)

/** What the bounds on clients depend on. */
export const MachineSettings = z.object({
  memoryMegabytes: OptionalQuantity.transform(megabytes => megabytes || DEFAULT_MEMORY_MEGABYTES),
  maximumDescriptors: OptionalQuantity.transform(descriptors => descriptors || DEFAULT_MAXIMUM_DESCRIPTORS)
})
export type MachineSettings = z.infer<typeof MachineSettings>
