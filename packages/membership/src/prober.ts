/**
 * SWIM failure detector with suspicion. In each period one member is pinged. If it does not
 * acknowledge, a few other members are asked to ping it, and if that fails too it becomes
 * suspect. A suspect that does not refute in time counts as dead. The cost per instance and
 * period does not depend on the fleet's size. The module uses no sockets and no clock: time and
 * messages are passed in, so that a test can run any interleaving.
 */
import { InstanceState } from '@lapisbridge/types';
import type { InstanceRecord } from '@lapisbridge/types';

import { DEFAULT_PROBER_TIMING, GossipKind } from './gossip.js';
import type { GossipMessage, ProberOptions } from './gossip.js';
import { createMemberTable } from './member-table.js';
import type { Member, MemberUpdate } from './member-table.js';
import { createUpdateQueue } from './update-queue.js';

/** Number of members asked for indirect probes, and of members pinged with an urgent update. */
const INDIRECT_PROBE_COUNT = 3;
/** Keeps a datagram below 1,400 bytes, which a usual network path carries unfragmented. */
const UPDATES_PER_MESSAGE = 4;
/** Probability that a message with room left also carries the state of a random member. */
const RANDOM_MEMBER_PROBABILITY = 0.25;
/**
 * Probability per period of also pinging a dead member, so that the two sides of a healed
 * partition find each other.
 */
const DEAD_PROBE_PROBABILITY = 0.25;

/** The direct probe of the current period; `indirect` once other members were asked. */
interface PendingProbe {
  readonly target: string;
  readonly sequence: number;
  readonly startedAt: number;
  indirect: boolean;
}

/** A ping sent on behalf of another member, whose ack is forwarded to it. */
interface RelayedProbe {
  readonly requester: InstanceRecord;
  readonly requesterSequence: number;
  readonly startedAt: number;
}

/** Failure detector of one instance; every `now` is in monotonic milliseconds. */
export interface Prober {
  members(): Iterable<Member>;
  member(instanceId: string): Member | undefined;
  /** Advances timeouts and starts the next probe when it is due. */
  tick(now: number): void;
  receive(message: GossipMessage, now: number): void;
  /** Merges an entry of the platform's instance list. */
  mergeListed(record: InstanceRecord, leaving: boolean, now: number): void;
  /** Announces that this instance is leaving: at once to a few members, to others by gossip. */
  leave(now: number): void;
  /** Announces the configuration version in force here; a version that is not higher is ignored. */
  announceVersion(version: number): void;
}

export function createProber(options: ProberOptions): Prober {
  const timing = { ...DEFAULT_PROBER_TIMING, ...options.timing };
  const table = createMemberTable();
  const queue = createUpdateQueue();
  const relayed = new Map<number, RelayedProbe>();
  let ownUpdate: MemberUpdate = {
    record: options.self,
    incarnation: options.incarnation,
    state: InstanceState.Live,
    version: 0,
  };
  let sequence = 0;
  let probeOrder: string[] = [];
  let pendingProbe: PendingProbe | undefined;
  let nextProbeAt = 0;

  function pickRandom<T>(list: readonly T[]): T | undefined {
    return list[Math.floor(options.random() * list.length)];
  }

  function applyUpdate(update: MemberUpdate, now: number): void {
    if (update.record.instanceId === options.self.instanceId) {
      refute(update);
      return;
    }
    if (!table.merge(update, now)) return;
    queue.add(update);
    options.onChange(table.get(update.record.instanceId) as Member);
  }

  /** Refutes a report that this instance is suspect or dead by raising its own incarnation. */
  function refute(update: MemberUpdate): void {
    const reportsWorseState =
      update.state !== InstanceState.Live && ownUpdate.state === InstanceState.Live;
    const hasHigherIncarnation = update.incarnation > ownUpdate.incarnation;
    if (
      !hasHigherIncarnation &&
      !(reportsWorseState && update.incarnation === ownUpdate.incarnation)
    )
      return;
    ownUpdate = { ...ownUpdate, incarnation: update.incarnation + 1 };
    queue.add(ownUpdate);
  }

  /**
   * Queued updates first, then sometimes a random member, which repairs updates that were lost. A
   * receiver that is not known as live gets its own state first, so that it can refute it.
   */
  function updatesFor(receiver: string): readonly MemberUpdate[] {
    const updates = [...queue.take(UPDATES_PER_MESSAGE, table.size)];
    const knownReceiver = table.get(receiver);
    if (knownReceiver !== undefined && knownReceiver.state !== InstanceState.Live)
      updates.unshift(knownReceiver);
    if (updates.length < UPDATES_PER_MESSAGE && options.random() < RANDOM_MEMBER_PROBABILITY) {
      const randomMember = pickRandom([...table.all()]);
      if (randomMember !== undefined && randomMember.incarnation > 0) updates.push(randomMember);
    }
    return updates.slice(0, UPDATES_PER_MESSAGE).map(toUpdate);
  }

  function send(
    to: InstanceRecord,
    kind: GossipKind,
    sequenceNumber: number,
    target?: string,
  ): void {
    options.send(to, {
      kind,
      sequence: sequenceNumber,
      from: ownUpdate,
      ...(target === undefined ? {} : { target }),
      updates: updatesFor(to.instanceId),
      stateDigest: options.stateDigest(),
    });
  }

  /** Pings a few random members at once to spread an urgent update. */
  function pingRandomMembers(): void {
    const members = [...table.all()].filter(isProbeTarget);
    for (let count = 0; count < INDIRECT_PROBE_COUNT && members.length > 0; count += 1) {
      const [member] = members.splice(Math.floor(options.random() * members.length), 1);
      if (member !== undefined) {
        sequence += 1;
        send(member.record, GossipKind.Ping, sequence);
      }
    }
  }

  /** Visits the members that are not dead in random order; each round has a new order. */
  function nextTarget(): Member | undefined {
    while (probeOrder.length > 0) {
      const member = table.get(probeOrder.pop() as string);
      if (member !== undefined && isProbeTarget(member)) return member;
    }
    const instanceIds: string[] = [];
    for (const member of table.all()) {
      if (isProbeTarget(member))
        instanceIds.splice(
          Math.floor(options.random() * (instanceIds.length + 1)),
          0,
          member.record.instanceId,
        );
    }
    probeOrder = instanceIds;
    const first = probeOrder.pop();
    return first === undefined ? undefined : table.get(first);
  }

  function startProbe(now: number): void {
    nextProbeAt = now + timing.probePeriodMilliseconds;
    const target = nextTarget();
    if (target !== undefined) {
      sequence += 1;
      pendingProbe = {
        target: target.record.instanceId,
        sequence,
        startedAt: now,
        indirect: false,
      };
      send(target.record, GossipKind.Ping, sequence);
    }
    if (options.random() >= DEAD_PROBE_PROBABILITY) return;
    const dead = pickRandom([...table.all()].filter(({ state }) => state === InstanceState.Dead));
    if (dead === undefined) return;
    sequence += 1;
    send(dead.record, GossipKind.Ping, sequence);
  }

  function requestIndirectProbes(probe: PendingProbe): void {
    probe.indirect = true;
    const intermediaries = [...table.all()].filter(
      ({ record, state }) => state === InstanceState.Live && record.instanceId !== probe.target,
    );
    for (let count = 0; count < INDIRECT_PROBE_COUNT && intermediaries.length > 0; count += 1) {
      const index = Math.floor(options.random() * intermediaries.length);
      const [intermediary] = intermediaries.splice(index, 1);
      if (intermediary !== undefined) {
        send(intermediary.record, GossipKind.PingRequest, probe.sequence, probe.target);
      }
    }
  }

  function advanceProbe(now: number): void {
    if (pendingProbe === undefined) return;
    const age = now - pendingProbe.startedAt;
    if (!pendingProbe.indirect && age >= timing.ackTimeoutMilliseconds)
      requestIndirectProbes(pendingProbe);
    if (age < timing.ackTimeoutMilliseconds * 3) return;
    const member = table.get(pendingProbe.target);
    pendingProbe = undefined;
    if (member === undefined || member.state !== InstanceState.Live) return;
    applyUpdate({ ...toUpdate(member), state: InstanceState.Suspect }, now);
  }

  function expireMembers(now: number): void {
    for (const member of [...table.all()]) {
      const age = now - member.stateSinceMilliseconds;
      if (member.state === InstanceState.Suspect && age >= timing.suspicionTimeoutMilliseconds) {
        applyUpdate({ ...toUpdate(member), state: InstanceState.Dead }, now);
      } else if (member.state === InstanceState.Dead && age >= timing.deadRetentionMilliseconds) {
        table.remove(member.record.instanceId);
      }
    }
    for (const [sequenceNumber, relay] of relayed) {
      if (now - relay.startedAt > timing.probePeriodMilliseconds) relayed.delete(sequenceNumber);
    }
  }

  function handlePingRequest(message: GossipMessage, now: number): void {
    const target = table.get(message.target ?? '');
    if (target === undefined) return;
    sequence += 1;
    relayed.set(sequence, {
      requester: message.from.record,
      requesterSequence: message.sequence,
      startedAt: now,
    });
    send(target.record, GossipKind.Ping, sequence);
  }

  function handleAck(message: GossipMessage): void {
    if (pendingProbe?.sequence === message.sequence) pendingProbe = undefined;
    const relay = relayed.get(message.sequence);
    if (relay === undefined) return;
    relayed.delete(message.sequence);
    send(relay.requester, GossipKind.Ack, relay.requesterSequence);
  }

  return {
    members: () => table.all(),
    member: (instanceId) => table.get(instanceId),
    tick(now) {
      advanceProbe(now);
      expireMembers(now);
      if (now >= nextProbeAt) startProbe(now);
    },
    receive(message, now) {
      applyUpdate(message.from, now);
      for (const update of message.updates) applyUpdate(update, now);
      options.onPeerDigest(message.from.record, message.stateDigest);
      switch (message.kind) {
        case GossipKind.Ping:
          send(message.from.record, GossipKind.Ack, message.sequence);
          break;
        case GossipKind.Ack:
          handleAck(message);
          break;
        case GossipKind.PingRequest:
          handlePingRequest(message, now);
          break;
        default: {
          const unreachable: never = message.kind;
          throw new Error(`unknown gossip kind ${String(unreachable)}`);
        }
      }
    },
    mergeListed(record, leaving, now) {
      if (record.instanceId === options.self.instanceId) return;
      if (!table.mergeListed(record, leaving, now)) return;
      options.onChange(table.get(record.instanceId) as Member);
    },
    leave(now) {
      ownUpdate = { ...ownUpdate, state: InstanceState.Leaving };
      queue.add(ownUpdate);
      pingRandomMembers();
      nextProbeAt = now;
    },
    announceVersion(version) {
      if (version <= ownUpdate.version) return;
      ownUpdate = { ...ownUpdate, version };
      queue.add(ownUpdate);
      // Operators wait until their change is in force everywhere, and the next probe may be a
      // second away.
      pingRandomMembers();
    },
  };
}

function isProbeTarget(member: Member): boolean {
  return member.state !== InstanceState.Dead;
}

function toUpdate({ record, incarnation, state, version }: MemberUpdate): MemberUpdate {
  return { record, incarnation, state, version };
}
