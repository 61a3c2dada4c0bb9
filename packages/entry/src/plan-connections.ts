/**
 * Plans which sidecars an entry connects to, and tells whether a rank group is whole.
 */
import type { Member } from '@lapisbridge/membership';
import { planSubset } from '@lapisbridge/routing';
import { InstanceState } from '@lapisbridge/types';
import type { InstanceRecord } from '@lapisbridge/types';

function isGone({ state }: Member): boolean {
  return state === InstanceState.Dead || state === InstanceState.Leaving;
}

function groupByName(sidecars: readonly Member[]): Map<string, InstanceRecord[]> {
  const byName = new Map<string, InstanceRecord[]>();
  for (const member of sidecars) {
    if (isGone(member)) continue;
    for (const name of member.record.backendServer?.names ?? []) {
      const records = byName.get(name) ?? [];
      records.push(member.record);
      byName.set(name, records);
    }
  }
  return byName;
}

/** Subsets are made per model or service, since each needs enough servers of its own. */
export function planConnections(
  sidecars: readonly Member[],
  self: InstanceRecord,
  subsetSize: number,
): ReadonlySet<string> {
  const wanted = new Set<string>();
  for (const records of groupByName(sidecars).values()) {
    const subset = planSubset(self.instanceId, self.availabilityZone, records, subsetSize);
    for (const instanceId of subset) wanted.add(instanceId);
  }
  return wanted;
}

/** A group is one health domain: without any one of its ranks no step can finish. */
export function groupIsWhole(record: InstanceRecord, sidecars: readonly Member[]): boolean {
  const place = record.backendServer?.rankPlace;
  if (place === undefined) return true;
  // The first rank takes the group's requests.
  if (place.rank !== 0) return false;
  for (const member of sidecars) {
    const other = member.record.backendServer?.rankPlace;
    if (other?.group === place.group && member.state === InstanceState.Dead) return false;
  }
  return true;
}
