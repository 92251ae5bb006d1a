/**
 * A consumer group of the emulated log store.
 */

/** Number of partitions of a topic. */
const PARTITIONS = 8

/** State of a group member. */
interface Member {
  topics: readonly string[]
  /** Time without a join after which the member is removed. */
  expiryMilliseconds: number
  /** Epoch milliseconds of the member's last join. */
  joinedAt: number
  /** Newest generation that the member has acknowledged. */
  generation: number
}

/**
 * Assigns partitions evenly to members. A partition is reassigned only after its current member has acknowledged the new
 * generation, has left or has expired.
 */
export class EmulatedConsumerGroup {
  private readonly _members = new Map<string, Member>()
  private readonly _assignments = new Map<string, string>()
  private _generation = 0
  private _rotation = 0

  /** Adds a member or renews its membership, and returns its partitions. */
  join (name: string, topics: readonly string[], expiryMilliseconds: number, generation: number, now: number): { generation: number, ttl_ms: number, parts: [string, number, number][] } {
    this._removeExpiredMembers(now)
    if (!this._members.has(name)) this._generation += 1
    this._members.set(name, { topics, expiryMilliseconds, joinedAt: now, generation })
    this._assignPartitions()
    const parts = [...this._assignments].filter(([, member]) => member === name).map(([key]): [string, number, number] => {
      const [topic = '', partition] = key.split(' ')
      return [topic, Number(partition), 0]
    })
    return { generation: this._generation, ttl_ms: expiryMilliseconds, parts }
  }

  /** Removes a member. */
  leave (name: string): void {
    if (this._members.delete(name)) this._generation += 1
    this._assignPartitions()
  }

  /** Starts a new generation in which every partition is assigned to the next member. */
  rebalance (): void {
    this._rotation += 1
    this._generation += 1
    this._assignPartitions()
  }

  private _removeExpiredMembers (now: number): void {
    for (const [name, { joinedAt, expiryMilliseconds }] of this._members) if (joinedAt + expiryMilliseconds <= now) this.leave(name)
  }

  private _assignPartitions (): void {
    const names = [...this._members.keys()].sort()
    const topics = new Set([...this._members.values()].flatMap(member => member.topics))
    for (const topic of topics) {
      for (let partition = 0; partition < PARTITIONS; partition++) {
        const key = `${topic} ${partition}`
        const target = names[(partition + this._rotation) % names.length]
        const current = this._assignments.get(key)
        const currentMember = current === undefined ? undefined : this._members.get(current)
        // The current member keeps the partition until it has acknowledged the new generation.
        if (target !== undefined && (!currentMember || current === target || currentMember.generation >= this._generation)) this._assignments.set(key, target)
      }
    }
  }
}
