/**
 * The rosters that an entry gives others. Only names with first-hand evidence are vouched for:
 * otherwise two entries would keep the names of dead ones alive by repeating them to each other.
 */
import type { MemberList } from './member-list.js';
import { RosterScope } from './message.js';
import type { InstanceName } from './message.js';
import { hashNames } from './roster.js';
import type { Roster } from './roster.js';

export interface PublishedRosters {
  /** Entries of the own zone that this one hears. */
  zoneRoster(): Roster;
  /** What a delegate vouches for: entries that it hears, and those that other zones vouch for. */
  fleetRoster(): Roster;
  /** Names that help a newcomer to find the delegates; they are not vouched for. */
  unconfirmedRoster(): Roster;
}

/** Evidence of a living entry is passed on for this long. */
export const EVIDENCE_LIFETIME_MILLISECONDS = 3000;

export function createPublishedRosters(self: InstanceName, members: MemberList): PublishedRosters {
  function buildRoster(scope: RosterScope, others: readonly InstanceName[]): Roster {
    const named = new Map<string, InstanceName>([[self.instanceId, self]]);
    for (const name of others) named.set(name.instanceId, name);
    const entries = [...named.values()];
    return { scope, hash: hashNames(entries), entries };
  }

  return {
    zoneRoster() {
      const inZone: InstanceName[] = [];
      for (const name of members.heardWithin(EVIDENCE_LIFETIME_MILLISECONDS)) {
        if (name.availabilityZone === self.availabilityZone) inZone.push(name);
      }
      return buildRoster(RosterScope.Zone, inZone);
    },
    fleetRoster() {
      const heard = members.heardWithin(EVIDENCE_LIFETIME_MILLISECONDS);
      return buildRoster(RosterScope.Fleet, [
        ...heard,
        ...members.confirmedWithin(EVIDENCE_LIFETIME_MILLISECONDS),
      ]);
    },
    unconfirmedRoster: () =>
      buildRoster(RosterScope.Fleet, members.seenWithin(EVIDENCE_LIFETIME_MILLISECONDS)),
  };
}
