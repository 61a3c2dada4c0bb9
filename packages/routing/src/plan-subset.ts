/**
 * Deterministic subsetting: plans which backend servers an entry keeps connections to. If every
 * entry were connected to every server, the memory and heartbeats of each process would grow with
 * the fleet; a subset keeps them constant.
 */
import { rendezvousOrder } from './rendezvous.js';

export interface SubsetMember {
  readonly instanceId: string;
  readonly availabilityZone: string;
}

/**
 * Returns the instance ids of up to `size` members: half from the entry's own zone, the rest in
 * turn from the other zones, so that servers remain after the loss of any one zone. Where one zone
 * has too few servers, the others fill its share.
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
