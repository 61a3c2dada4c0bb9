/**
 * Rosters of entries, and the last roster received from each entry. A roster is sent only when its
 * hash has changed; a digest with a known hash confirms the same entries again.
 */
import { rendezvousWeight } from '@lapisbridge/routing';

import type { MemberList } from './member-list.js';
import { RosterScope } from './message.js';
import type { InstanceName } from './message.js';

export interface Roster {
  readonly scope: RosterScope;
  readonly hash: number;
  readonly entries: readonly InstanceName[];
}

/** Hashes the entries to 32 bits, independently of their order. */
export function hashNames(names: readonly InstanceName[]): number {
  let hash = 0;
  for (const { instanceId, host } of names) {
    hash = (hash + rendezvousWeight(instanceId, host)) % 2 ** 32;
  }
  return hash;
}

export interface ReceivedRosters {
  /** Stores an entry's roster and applies it to the member list. */
  onRoster(from: InstanceName, roster: Roster): void;
  /** Applies the stored roster again. Returns false if none with this scope and hash is stored. */
  onHash(from: InstanceName, scope: RosterScope, hash: number): boolean;
  remove(instanceId: string): void;
}

export function createReceivedRosters(members: MemberList): ReceivedRosters {
  const rosters = new Map<string, Roster>();

  function apply(from: InstanceName, { scope, entries }: Roster): void {
    for (const name of entries) {
      switch (scope) {
        case RosterScope.Zone:
          // A zone roster confirms only entries of the sender's own zone, which it hears directly.
          if (name.availabilityZone === from.availabilityZone) members.onConfirmed(name);
          break;
        case RosterScope.Fleet:
          members.onMentioned(name);
          break;
        default: {
          const unreachable: never = scope;
          throw new Error(String(unreachable));
        }
      }
    }
  }

  return {
    onRoster(from, roster) {
      rosters.set(from.instanceId, roster);
      apply(from, roster);
    },
    onHash(from, scope, hash) {
      const known = rosters.get(from.instanceId);
      if (known === undefined || known.scope !== scope || known.hash !== hash) return false;
      apply(from, known);
      return true;
    },
    remove: (instanceId) => {
      rosters.delete(instanceId);
    },
  };
}
