/**
 * One instance's view of the other members. Updates are merged by incarnation number. Only the
 * instance itself raises its own number, so it can refute a false report about itself.
 */
import { InstanceState } from '@lapisbridge/types';
import type { InstanceRecord } from '@lapisbridge/types';

/** State of one member as it is sent in gossip messages. */
export interface MemberUpdate {
  readonly record: InstanceRecord;
  readonly incarnation: number;
  readonly state: InstanceState;
  /** Configuration version that the member last reported as in force. */
  readonly version: number;
}

/** A member as known to this instance. */
export interface Member extends MemberUpdate {
  /** Monotonic time at which this instance first saw the member in this state. */
  readonly stateSinceMilliseconds: number;
  /** Whether the platform's instance list shows the instance as being removed. */
  readonly listedLeaving: boolean;
}

/** At equal incarnations the worse state wins, since a recovery always raises the incarnation. */
const STATE_PRECEDENCE: Readonly<Record<InstanceState, number>> = {
  [InstanceState.Live]: 0,
  [InstanceState.Suspect]: 1,
  [InstanceState.Leaving]: 2,
  [InstanceState.Dead]: 3,
};

/** Whether the update replaces what is known of the member. */
export function isNewerUpdate(known: MemberUpdate | undefined, update: MemberUpdate): boolean {
  if (known === undefined) return true;
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  if (update.state !== known.state)
    return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[known.state];
  return update.version > known.version;
}

export interface MemberTable {
  readonly size: number;
  get(instanceId: string): Member | undefined;
  all(): Iterable<Member>;
  /** Merges an update; returns whether it changed the table. */
  merge(update: MemberUpdate, now: number): boolean;
  /**
   * Merges an entry of the platform's instance list; returns whether it changed the table. An
   * unknown instance is added with incarnation 0, so that any update from it takes precedence.
   */
  mergeListed(record: InstanceRecord, leaving: boolean, now: number): boolean;
  remove(instanceId: string): void;
}

export function createMemberTable(): MemberTable {
  const members = new Map<string, Member>();
  return {
    get size() {
      return members.size;
    },
    get: (instanceId) => members.get(instanceId),
    all: () => members.values(),
    merge(update, now) {
      const { instanceId } = update.record;
      const known = members.get(instanceId);
      if (!isNewerUpdate(known, update)) return false;
      const sameState = known !== undefined && known.state === update.state;
      members.set(instanceId, {
        record: update.record,
        incarnation: update.incarnation,
        state: update.state,
        version: Math.max(update.version, known?.version ?? 0),
        stateSinceMilliseconds: sameState ? known.stateSinceMilliseconds : now,
        listedLeaving: known?.listedLeaving ?? false,
      });
      return true;
    },
    mergeListed(record, leaving, now) {
      const known = members.get(record.instanceId);
      if (known === undefined) {
        const update = { record, incarnation: 0, state: InstanceState.Live, version: 0 };
        members.set(record.instanceId, {
          ...update,
          stateSinceMilliseconds: now,
          listedLeaving: leaving,
        });
        return true;
      }
      if (known.listedLeaving === leaving) return false;
      members.set(record.instanceId, { ...known, listedLeaving: leaving });
      return true;
    },
    remove(instanceId) {
      members.delete(instanceId);
    },
  };
}
