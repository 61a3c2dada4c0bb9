/**
 * Derives an entry's roles (delegate, primary, reader) from the members it knows. Pure.
 */
import type { InstanceName } from './message.js';
import {
  MINIMUM_ENTRIES_FOR_DELEGATION,
  planDelegates,
  planReadingRole,
} from './plan-delegates.js';
import type { ReadingRole } from './plan-delegates.js';

export interface DutiesInput {
  readonly self: InstanceName;
  /** Other entries. */
  readonly known: readonly InstanceName[];
  /** Entries of the whole fleet, as far as known or assumed. */
  readonly fleetSize: number;
  /** Whether an entry has stopped answering this one. */
  isSuspected(instanceId: string): boolean;
}

export interface Duties {
  readonly isDelegating: boolean;
  /** Delegates by zone, in order of preference; zones without a responding entry are omitted. */
  readonly delegates: ReadonlyMap<string, readonly string[]>;
  readonly isDelegate: boolean;
  readonly isPrimary: boolean;
  readonly readingRole: ReadingRole;
}

function entriesByZone({ self, known }: DutiesInput): Map<string, string[]> {
  const byZone = new Map<string, string[]>([[self.availabilityZone, [self.instanceId]]]);
  for (const { instanceId, availabilityZone } of known) {
    const inZone = byZone.get(availabilityZone);
    if (inZone === undefined) byZone.set(availabilityZone, [instanceId]);
    else inZone.push(instanceId);
  }
  return byZone;
}

export function planDuties(input: DutiesInput): Duties {
  const { instanceId, availabilityZone } = input.self;
  const fleetSize = Math.max(input.fleetSize, input.known.length + 1);
  const isDelegating = fleetSize >= MINIMUM_ENTRIES_FOR_DELEGATION;
  const delegates = new Map<string, readonly string[]>();
  for (const [zone, instanceIds] of entriesByZone(input)) {
    const chosen = planDelegates({
      availabilityZone: zone,
      instanceIds,
      fleetSize,
      isSuspected: (candidate) => input.isSuspected(candidate),
    });
    if (chosen.length > 0) delegates.set(zone, chosen);
  }
  const own = delegates.get(availabilityZone) ?? [];
  return {
    isDelegating,
    delegates,
    isDelegate: own.includes(instanceId),
    isPrimary: own[0] === instanceId,
    readingRole: planReadingRole({
      instanceId,
      availabilityZone,
      delegates: own,
      zones: [...delegates.keys()],
      isDelegating,
    }),
  };
}
