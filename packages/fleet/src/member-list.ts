/**
 * Membership and failure detection. An entry suspects a member that does not answer its own
 * messages. Suspicion is never shared, so a one-way network failure between two instances affects
 * only these two.
 */
import type { InstanceName } from './message.js';

export interface MemberList {
  /** Records a message received from the entry itself. */
  onHeard(name: InstanceName): void;
  /** Records that a delegate of the entry's own zone hears it. */
  onConfirmed(name: InstanceName): void;
  /** Records that another entry listed it, without direct evidence. */
  onMentioned(name: InstanceName): void;
  /** Records that a message that expects an answer was sent to the entry. */
  onContacted(instanceId: string): void;
  /** Whether the entry has left a message unanswered for longer than the suspicion timeout. */
  isSuspected(instanceId: string): boolean;
  find(instanceId: string): InstanceName | undefined;
  /** All known members; the same array until the list changes. */
  known(): readonly InstanceName[];
  /** Members heard directly within the last `milliseconds`. */
  heardWithin(milliseconds: number): InstanceName[];
  /** Members that a delegate of their zone confirmed within the last `milliseconds`. */
  confirmedWithin(milliseconds: number): InstanceName[];
  /** Members heard, confirmed or mentioned within the last `milliseconds`. */
  seenWithin(milliseconds: number): InstanceName[];
  /** Removes the members whose lifetime has expired, and returns them. */
  removeSilent(): InstanceName[];
}

interface Member {
  name: InstanceName;
  heardAt: number;
  confirmedAt: number;
  mentionedAt: number;
  /** When the first unanswered message was sent. */
  unansweredSince: number | undefined;
}

/** Tolerates the loss of three digests from an entry that is not a primary. */
export const SUSPICION_TIMEOUT_MILLISECONDS = 1600;
/**
 * Members count for this long after the last evidence of life. Limits shared by all entries are
 * divided by their number, and a partitioned entry still uses its share.
 */
const MEMBER_LIFETIME_MILLISECONDS = 30_000;

export function createMemberList(ownInstanceId: string, now: () => number): MemberList {
  const members = new Map<string, Member>();
  let list: readonly InstanceName[] | undefined;

  function findOrAddMember(name: InstanceName): Member {
    const known = members.get(name.instanceId);
    if (known !== undefined) {
      if (known.name.host !== name.host) list = undefined;
      known.name = name;
      return known;
    }
    const member: Member = {
      name,
      heardAt: -Infinity,
      confirmedAt: -Infinity,
      mentionedAt: -Infinity,
      unansweredSince: undefined,
    };
    members.set(name.instanceId, member);
    list = undefined;
    return member;
  }

  function seenAt({ heardAt, confirmedAt, mentionedAt }: Member): number {
    return Math.max(heardAt, confirmedAt, mentionedAt);
  }

  function within(milliseconds: number, timeOf: (member: Member) => number): InstanceName[] {
    const from = now() - milliseconds;
    const names: InstanceName[] = [];
    for (const member of members.values()) if (timeOf(member) >= from) names.push(member.name);
    return names;
  }

  return {
    onHeard(name) {
      const member = findOrAddMember(name);
      member.heardAt = now();
      member.unansweredSince = undefined;
    },
    onConfirmed(name) {
      if (name.instanceId !== ownInstanceId) findOrAddMember(name).confirmedAt = now();
    },
    onMentioned(name) {
      if (name.instanceId !== ownInstanceId) findOrAddMember(name).mentionedAt = now();
    },
    onContacted(instanceId) {
      const member = members.get(instanceId);
      if (member !== undefined) member.unansweredSince ??= now();
    },
    isSuspected(instanceId) {
      const since = members.get(instanceId)?.unansweredSince;
      return since !== undefined && now() - since > SUSPICION_TIMEOUT_MILLISECONDS;
    },
    find: (instanceId) => members.get(instanceId)?.name,
    known() {
      list ??= [...members.values()].map(({ name }) => name);
      return list;
    },
    heardWithin: (milliseconds) => within(milliseconds, ({ heardAt }) => heardAt),
    confirmedWithin: (milliseconds) => within(milliseconds, ({ confirmedAt }) => confirmedAt),
    seenWithin: (milliseconds) => within(milliseconds, seenAt),
    removeSilent() {
      const removed: InstanceName[] = [];
      for (const [instanceId, member] of members) {
        if (now() - seenAt(member) <= MEMBER_LIFETIME_MILLISECONDS) continue;
        members.delete(instanceId);
        removed.push(member.name);
        list = undefined;
      }
      return removed;
    },
  };
}
