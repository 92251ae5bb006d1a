/**
 * Compares a VM's size with what the owner of the journal needs.
 */

/** Cores that an owner needs at peak load with about 250 workers: 0.49 (docs/MEASUREMENTS.md) plus a margin. */
const REQUIRED_CORES = 0.6

/** Link speed for the owner's calls to about 250 workers and its reads of the journal, in Mbit/s. */
const REQUIRED_LINK_MEGABITS_PER_SECOND = 100

/** Size of the VM as configured; 0 means unknown. */
interface VirtualMachineSize {
  /** Fraction of a processor that the VM may use. */
  readonly processorShare: number
  /** Speed of that processor relative to an ordinary core. */
  readonly processorSpeed: number
  readonly linkMegabitsPerSecond: number
}

/** Largest missing fraction of the resources that an owner needs: 0 if the VM has them all or its size is unknown, up to 1 if it has almost none. */
export function ownerResourceShortfall ({ processorShare, processorSpeed, linkMegabitsPerSecond }: VirtualMachineSize): number {
  const cores = processorShare * (processorSpeed || 1)
  const shortfall = (available: number, required: number): number => available === 0 ? 0 : Math.max(0, 1 - available / required)
  return Math.max(shortfall(cores, REQUIRED_CORES), shortfall(linkMegabitsPerSecond, REQUIRED_LINK_MEGABITS_PER_SECOND))
}
