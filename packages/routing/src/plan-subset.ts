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
    const instanceIds = byZone.get(member.availabilityZone) ?? [];
    instanceIds.push(member.instanceId);
    byZone.set(member.availabilityZone, instanceIds);
  }
  const ownZoneServers = rendezvousOrder(entryId, byZone.get(ownZone) ?? []);
  byZone.delete(ownZone);
  const otherZones = [...byZone.values()].map((instanceIds) =>
    rendezvousOrder(entryId, instanceIds),
  );
  const subset = new Set(ownZoneServers.splice(0, Math.ceil(size / 2)));
  while (subset.size < size) {
    const sizeBefore = subset.size;
    for (const instanceIds of otherZones) {
      const next = instanceIds.shift();
      if (next !== undefined && subset.size < size) subset.add(next);
    }
    if (subset.size > sizeBefore) continue;
    for (const instanceId of ownZoneServers.splice(0, size - subset.size)) subset.add(instanceId);
    break;
  }
  return subset;
}
