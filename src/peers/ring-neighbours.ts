/**
 * Selects the peers that a member keeps connections to.
 */
import { createHash } from 'node:crypto'
import type { Member } from '../schemas/member.js'

/**
 * Returns the neighbours at distances 1, 2, 4, … on a ring of all members and on a ring of the
 * member's own availability zone. Both the number of connections and the number of hops to
 * any member grow with the logarithm of the fleet, and a zone that is cut off from the others
 * stays connected within itself.
 */
export function ringNeighbours (self: Member, members: readonly Member[]): Member[] {
  const zoneMembers = members.filter(member => member.availabilityZone === self.availabilityZone)
  const neighbours = new Map<string, Member>()
  for (const member of [...fingers(self, members), ...fingers(self, zoneMembers)]) neighbours.set(member.id, member)
  return [...neighbours.values()]
}

/** Members at distances that are powers of two, as in a Chord finger table. */
function fingers (self: Member, members: readonly Member[]): Member[] {
  const ring = [...members].sort((left, right) => ringPosition(left).localeCompare(ringPosition(right)))
  const start = ring.findIndex(member => member.id === self.id)
  const result: Member[] = []
  for (let distance = 1; distance < ring.length; distance *= 2) {
    const member = ring[(start + distance) % ring.length]
    if (member && member.id !== self.id) result.push(member)
  }
  return result
}

/** Position on the ring: a hash of the member's id, so that neighbours on the ring aren't all of one zone or role. */
function ringPosition (member: Member): string {
  return createHash('sha256').update(member.id).digest('hex')
}
