/**
 * The rosters that an entry gives others. Only names with first-hand evidence are vouched for:
 * otherwise two entries would keep the names of dead ones alive by repeating them to each other.
 */
import type { MemberList } from './member-list.js';
import { RosterScope } from './message.js';
import type { InstanceName } from './message.js';
import { hashNames } from './roster.js';
import type { Roster } from './roster.js';

export interface AuthoredRosters {
  /** Entries of the own zone that this one hears. */
  ofZone(): Roster;
  /** What a delegate vouches for: entries that it hears, and those that other zones vouch for. */
  ofFleet(): Roster;
  /** Names that help a newcomer to find the delegates; they are not vouched for. */
  secondHand(): Roster;
}

/** Evidence of a living entry is passed on for this long. */
export const VOUCH_MILLISECONDS = 3000;

export function createAuthoredRosters(self: InstanceName, members: MemberList): AuthoredRosters {
  function author(scope: RosterScope, others: readonly InstanceName[]): Roster {
    const named = new Map<string, InstanceName>([[self.instanceId, self]]);
    for (const name of others) named.set(name.instanceId, name);
    const entries = [...named.values()];
    return { scope, hash: hashNames(entries), entries };
  }

  return {
    ofZone() {
      const inZone: InstanceName[] = [];
      for (const name of members.heardWithin(VOUCH_MILLISECONDS)) {
        if (name.availabilityZone === self.availabilityZone) inZone.push(name);
      }
      return author(RosterScope.Zone, inZone);
    },
    ofFleet() {
      const heard = members.heardWithin(VOUCH_MILLISECONDS);
      return author(RosterScope.Fleet, [...heard, ...members.vouchedWithin(VOUCH_MILLISECONDS)]);
    },
    secondHand: () => author(RosterScope.Fleet, members.seenWithin(VOUCH_MILLISECONDS)),
  };
}
