/**
 * The entries that this instance knows of, and which of those it talks to have fallen silent.
 * A member is suspected by whoever sends to it without an answer; nobody is declared dead for
 * others, so a one-way cut between two instances misleads only these two.
 */
import type { InstanceName } from './message.js';

export interface MemberList {
  /** Takes note that an entry was heard directly. */
  onHeard(name: InstanceName): void;
  /** Takes note that a delegate of the entry's own zone hears it. */
  onConfirmed(name: InstanceName): void;
  /** Takes note that another entry named it. */
  onMentioned(name: InstanceName): void;
  /** Takes note that an answer is expected from an entry. */
  onContacted(instanceId: string): void;
  /** Whether an entry was sent to and has not answered for too long. */
  isSuspected(instanceId: string): boolean;
  find(instanceId: string): InstanceName | undefined;
  /** All that are known; a new list whenever it changes. */
  known(): readonly InstanceName[];
  /** Those that were heard directly within the time. */
  heardWithin(milliseconds: number): InstanceName[];
  /** Those that a delegate of their zone vouched for within the time. */
  confirmedWithin(milliseconds: number): InstanceName[];
  /** Those with evidence of any kind within the time. */
  seenWithin(milliseconds: number): InstanceName[];
  /** Drops the entries that nothing was learned of for long. Returns their names. */
  removeSilent(): InstanceName[];
}

interface Member {
  name: InstanceName;
  heardAt: number;
  confirmedAt: number;
  mentionedAt: number;
  /** When the first unanswered message went out. */
  unansweredSince: number | undefined;
}

/** Three digests of an entry that is no primary may be lost. */
export const SUSPICION_TIMEOUT_MILLISECONDS = 1600;
/**
 * Members count for this long after the last evidence: bounds that all entries share are divided
 * by their number, and one that is cut off still takes its share.
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
