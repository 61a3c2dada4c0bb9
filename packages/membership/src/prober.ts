/**
 * Probing with suspicion: at each period one member is pinged; without an answer a few
 * others are asked to ping it, and without theirs it is suspected. A suspect that does not
 * refute in time counts as dead. Cost per instance and period is fixed whatever the fleet's
 * size. No sockets and no clock here: time and messages are passed in, so that a test can
 * run any interleaving.
 */
import { InstanceState } from '@lapisbridge/types';
import type { InstanceRecord } from '@lapisbridge/types';

import { DEFAULT_PROBER_TIMING, GossipKind } from './gossip.js';
import type { GossipMessage, ProberOptions } from './gossip.js';
import { createMemberTable } from './member-table.js';
import type { Member, MemberUpdate } from './member-table.js';
import { createUpdateQueue } from './update-queue.js';

const INDIRECT_PROBE_COUNT = 3;
/** Updates on one message: keeps a datagram below a usual path's 1,400 bytes. */
const UPDATES_PER_MESSAGE = 4;
/** Share of messages that also carry a known member in passing. */
const RANDOM_MEMBER_PROBABILITY = 0.25;
/** Share of periods in which a dead member is pinged too, so that two sides of a healed cut find each other. */
const DEAD_PROBE_PROBABILITY = 0.25;

interface PendingProbe {
  readonly target: string;
  readonly sequence: number;
  readonly startedAt: number;
  indirect: boolean;
}

interface RelayedProbe {
  readonly requester: InstanceRecord;
  readonly requesterSequence: number;
  readonly startedAt: number;
}

export interface Prober {
  members(): Iterable<Member>;
  member(instanceId: string): Member | undefined;
  tick(now: number): void;
  receive(message: GossipMessage, now: number): void;
  mergeListed(record: InstanceRecord, leaving: boolean, now: number): void;
  /** Announces that this instance leaves; the rest hears it with the next messages. */
  leave(now: number): void;
  /** Announces the configuration version in force here. */
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

  /** A rumour that we are suspect or dead: answered by a higher incarnation of our own. */
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

  /** Fresh updates first, then members in passing, which repairs what was missed before. */
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

  /** Pings a few members out of turn, because there is news. */
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
      // Operators wait to see their change in force everywhere; the next probe may be a second off.
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
