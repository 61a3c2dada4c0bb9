/**
 * What one instance believes of the others. Beliefs are merged by incarnation number: only
 * an instance itself raises its own, so it can refute a wrong rumour about itself.
 */
import { InstanceState } from '@lapisbridge/types';
import type { InstanceRecord } from '@lapisbridge/types';

export interface MemberUpdate {
  readonly record: InstanceRecord;
  readonly incarnation: number;
  readonly state: InstanceState;
  /** Configuration version that the member last said is in force there. */
  readonly version: number;
}

export interface Member extends MemberUpdate {
  /** Monotonic milliseconds at which this state was first believed here. */
  readonly stateSinceMilliseconds: number;
  /** The platform's list says that the instance is being removed. */
  readonly listedLeaving: boolean;
}

/** At one incarnation the worse news wins, since better news comes with a higher one. */
const STATE_PRECEDENCE: Readonly<Record<InstanceState, number>> = {
  [InstanceState.Live]: 0,
  [InstanceState.Suspect]: 1,
  [InstanceState.Leaving]: 2,
  [InstanceState.Dead]: 3,
};

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
  /** Merges an update; true when it was news. */
  merge(update: MemberUpdate, now: number): boolean;
  /** Notes what the platform's list says; unknown instances enter with incarnation 0. */
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
