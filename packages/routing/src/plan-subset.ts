/**
 * Plans which backend servers an entry keeps connections to. With many entries and many
 * servers, all-to-all connections would cost each process memory and heartbeats in
 * proportion to the fleet; a subset keeps the cost fixed.
 */
import { rendezvousOrder } from './rendezvous.js';

export interface SubsetMember {
  readonly instanceId: string;
  readonly availabilityZone: string;
}

/**
 * Takes up to `size` members: half from the entry's own zone, the rest in turn from the
 * other zones, so that the loss of any one zone leaves servers to go on with. What a zone
 * cannot fill is filled from the others.
 */
export function planSubset(
  entryId: string,
  ownZone: string,
  members: readonly SubsetMember[],
  size: number,
): ReadonlySet<string> {
  if (members.length <= size) return new Set(members.map((member) => member.instanceId));
  const byZone = new Map<string, string[]>();
  for (const member of members) {
    const names = byZone.get(member.availabilityZone) ?? [];
    names.push(member.instanceId);
    byZone.set(member.availabilityZone, names);
  }
  const own = rendezvousOrder(entryId, byZone.get(ownZone) ?? []);
  byZone.delete(ownZone);
  const others = [...byZone.values()].map((names) => rendezvousOrder(entryId, names));
  const chosen = new Set(own.splice(0, Math.ceil(size / 2)));
  while (chosen.size < size) {
    const before = chosen.size;
    for (const names of others) {
      const next = names.shift();
      if (next !== undefined && chosen.size < size) chosen.add(next);
    }
    if (chosen.size > before) continue;
    for (const name of own.splice(0, size - chosen.size)) chosen.add(name);
    break;
  }
  return chosen;
}
