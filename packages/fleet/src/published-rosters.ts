/**
 * Builds the rosters that an entry sends to others. Zone and fleet rosters list only entries with
 * direct evidence of life; otherwise two entries could keep a dead one listed forever by repeating
 * its name to each other.
 */
import type { MemberList } from './member-list.js';
import { RosterScope } from './message.js';
import type { InstanceName } from './message.js';
import { hashNames } from './roster.js';
import type { Roster } from './roster.js';

export interface PublishedRosters {
  /** Entries of the own zone that this entry hears directly. */
  zoneRoster(): Roster;
  /** A delegate's roster: entries that it hears, and those that delegates of their zone confirm. */
  fleetRoster(): Roster;
  /** All recently seen entries, confirmed or not, from which a new entry finds the delegates. */
  unconfirmedRoster(): Roster;
}

/** An entry is listed for this long after the last evidence that it is alive. */
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
