/**
 * How unfit a VM is for the owner's work.
 */

/** Processor that an owner takes in its busiest seconds with some 250 workers, in cores: 0.49 measured (docs/MEASUREMENTS.md), and some to spare. */
const OWNER_CORES = 0.6

/** Link that carries the owner's calls to some 250 workers and its reading of the journal, in Mbit/s. */
const OWNER_MEGABITS_PER_SECOND = 100

/** What the settings say of the VM; 0 stands for unknown. */
interface MachineSize {
  /** Share of a processor. */
  readonly processorShare: number
  /** Speed of that processor against an ordinary core. */
  readonly processorSpeed: number
  readonly linkMegabitsPerSecond: number
}

/** From 0 for a VM with all that an owner needs, or of unknown size, to 1 for one with next to nothing. */
export function ownerResourceShortfall ({ processorShare, processorSpeed, linkMegabitsPerSecond }: MachineSize): number {
  const cores = processorShare * (processorSpeed || 1)
  const lack = (has: number, needs: number): number => has === 0 ? 0 : Math.max(0, 1 - has / needs)
  return Math.max(lack(cores, OWNER_CORES), lack(linkMegabitsPerSecond, OWNER_MEGABITS_PER_SECOND))
}
