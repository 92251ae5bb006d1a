/**
 * Which peers a member keeps connections to.
 */
import { createHash } from 'node:crypto'
import type { Member } from '../schemas/member.js'

/**
 * Neighbours at distances 1, 2, 4, … on a ring of all members and on one of the member's own
 * availability zone. The number of connections grows with the logarithm of the fleet,
 * news reach everyone in as many hops, and a zone that is cut off still hangs together.
 */
export function ringNeighbours (self: Member, members: readonly Member[]): Member[] {
  const zone = members.filter(member => member.availabilityZone === self.availabilityZone)
  const chosen = new Map<string, Member>()
  for (const member of [...fingers(self, members), ...fingers(self, zone)]) chosen.set(member.id, member)
  return [...chosen.values()]
}

function fingers (self: Member, members: readonly Member[]): Member[] {
  const ring = [...members].sort((left, right) => position(left).localeCompare(position(right)))
  const start = ring.findIndex(member => member.id === self.id)
  const result: Member[] = []
  for (let distance = 1; distance < ring.length; distance *= 2) {
    const member = ring[(start + distance) % ring.length]
    if (member && member.id !== self.id) result.push(member)
  }
  return result
}

/** Place on the ring; hashed, so that neighbours aren't all of one zone or role. */
function position (member: Member): string {
  return createHash('sha256').update(member.id).digest('hex')
}
