/**
 * Chooses the delegates of an availability zone, and the entries that read the store. Each entry
 * decides from the members it knows; rendezvous hashing makes most of them agree without messages.
 * Disagreement costs an extra message or store call, but never correctness. Pure.
 */
import { rendezvousOrder } from '@lapisbridge/routing';

export interface DelegatesInput {
  readonly availabilityZone: string;
  /** Entries of the zone, including the deciding one if it belongs to the zone. */
  readonly instanceIds: readonly string[];
  /** Entries of the whole fleet, as far as known or assumed. */
  readonly fleetSize: number;
  /** Whether an entry has stopped answering the deciding one. */
  isSuspected(instanceId: string): boolean;
}

/** In a smaller fleet every entry exchanges messages with all others: faster, and still cheap. */
export const MINIMUM_ENTRIES_FOR_DELEGATION = 12;
/** The second delegate covers for the first until its failure is detected. */
const DELEGATES_PER_ZONE = 2;

/** Returns instance ids in order of preference; the first is the zone's primary. */
export function planDelegates(input: DelegatesInput): readonly string[] {
  const { availabilityZone, instanceIds, fleetSize } = input;
  const delegates: string[] = [];
  const isDelegating = fleetSize >= MINIMUM_ENTRIES_FOR_DELEGATION;
  for (const instanceId of rendezvousOrder(availabilityZone, instanceIds)) {
    if (isDelegating && delegates.length === DELEGATES_PER_ZONE) break;
    if (!input.isSuspected(instanceId)) delegates.push(instanceId);
  }
  return delegates;
}

/** How an entry keeps its copies of the store's tables up to date. */
export enum ReadingRole {
  /** Reads the store on behalf of the fleet. */
  Reader = 'reader',
  /** First delegate of a zone that has no reader. */
  Primary = 'primary',
  /** Second delegate of its zone. */
  Standby = 'standby',
  Follower = 'follower',
}

export interface ReadingRoleInput {
  readonly instanceId: string;
  readonly availabilityZone: string;
  /** Delegates of the own zone, in order of preference. */
  readonly delegates: readonly string[];
  /** Zones with at least one responding entry. */
  readonly zones: readonly string[];
  readonly isDelegating: boolean;
}

/** The second reader covers for the first until the first's reports are stale. */
const READER_ZONES = 2;
/** Rendezvous key that orders the zones for reading. */
const READERS_KEY = 'readers';

export function planReadingRole(input: ReadingRoleInput): ReadingRole {
  const { instanceId, availabilityZone, delegates, zones, isDelegating } = input;
  if (!isDelegating) return ReadingRole.Reader;
  const place = delegates.indexOf(instanceId);
  if (place < 0) return ReadingRole.Follower;
  if (place > 0) return ReadingRole.Standby;
  const readerZones = rendezvousOrder(READERS_KEY, zones).slice(0, READER_ZONES);
  return readerZones.includes(availabilityZone) ? ReadingRole.Reader : ReadingRole.Primary;
}
