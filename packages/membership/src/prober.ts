/**
 * Probing with suspicion: at each period one member is pinged; without an answer a few
 * others are asked to ping it, and without theirs it is suspected. A suspect that does not
 * refute in time counts as dead. Cost per instance and period is fixed whatever the fleet's
 * size. No sockets and no clock here: time and messages are passed in, so that a test can
 * run any interleaving.
 */
import { InstanceState } from '@lapisbridge/types';
import type { InstanceRecord } from '@lapisbridge/types';

import { DEFAULT_TIMING, GossipKind } from './gossip.js';
import type { GossipMessage, ProberOptions } from './gossip.js';
import { createMemberTable } from './member-table.js';
import type { Member, MemberUpdate } from './member-table.js';
import { createUpdateQueue } from './update-queue.js';

const INDIRECT_PROBES = 3;
/** Updates on one message: keeps a datagram below a usual path's 1,400 bytes. */
const UPDATES_PER_MESSAGE = 4;
/** Share of messages that also carry a known member in passing. */
const PASSING_SHARE = 0.25;
/** Share of periods in which a dead member is pinged too, so that two sides of a healed cut find each other. */
const DEAD_PROBE_SHARE = 0.25;

interface OpenProbe {
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
  noteListed(record: InstanceRecord, leaving: boolean, now: number): void;
  /** Announces that this instance leaves; the rest hears it with the next messages. */
  leave(now: number): void;
  /** Announces the configuration version in force here. */
  announceVersion(version: number): void;
}

export function createProber(options: ProberOptions): Prober {
  const timing = { ...DEFAULT_TIMING, ...options.timing };
  const table = createMemberTable();
  const queue = createUpdateQueue();
  const relayed = new Map<number, RelayedProbe>();
  let own: MemberUpdate = {
    record: options.self,
    incarnation: options.incarnation,
    state: InstanceState.Live,
    version: 0,
  };
  let sequence = 0;
  let order: string[] = [];
  let probe: OpenProbe | undefined;
  let nextProbeAt = 0;

  function pick<T>(list: readonly T[]): T | undefined {
    return list[Math.floor(options.random() * list.length)];
  }

  function accept(update: MemberUpdate, now: number): void {
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
    const worse = update.state !== InstanceState.Live && own.state === InstanceState.Live;
    const newer = update.incarnation > own.incarnation;
    if (!newer && !(worse && update.incarnation === own.incarnation)) return;
    own = { ...own, incarnation: update.incarnation + 1 };
    queue.add(own);
  }

  /** Fresh updates first, then members in passing, which repairs what was missed before. */
  function updatesFor(receiver: string): readonly MemberUpdate[] {
    const updates = [...queue.take(UPDATES_PER_MESSAGE, table.size)];
    const belief = table.get(receiver);
    if (belief !== undefined && belief.state !== InstanceState.Live) updates.unshift(belief);
    if (updates.length < UPDATES_PER_MESSAGE && options.random() < PASSING_SHARE) {
      const passing = pick([...table.all()]);
      if (passing !== undefined && passing.incarnation > 0) updates.push(passing);
    }
    return updates.slice(0, UPDATES_PER_MESSAGE).map(toUpdate);
  }

  function send(to: InstanceRecord, kind: GossipKind, number: number, target?: string): void {
    options.send(to, {
      kind,
      sequence: number,
      from: own,
      ...(target === undefined ? {} : { target }),
      updates: updatesFor(to.instanceId),
      stateDigest: options.stateDigest(),
    });
  }

  /** Pings a few members out of turn, because there is news. */
  function tellSome(): void {
    const members = [...table.all()].filter(isProbed);
    for (let count = 0; count < INDIRECT_PROBES && members.length > 0; count += 1) {
      const [member] = members.splice(Math.floor(options.random() * members.length), 1);
      if (member !== undefined) {
        sequence += 1;
        send(member.record, GossipKind.Ping, sequence);
      }
    }
  }

  function nextTarget(): Member | undefined {
    while (order.length > 0) {
      const member = table.get(order.pop() as string);
      if (member !== undefined && isProbed(member)) return member;
    }
    const names: string[] = [];
    for (const member of table.all()) {
      if (isProbed(member))
        names.splice(
          Math.floor(options.random() * (names.length + 1)),
          0,
          member.record.instanceId,
        );
    }
    order = names;
    const first = order.pop();
    return first === undefined ? undefined : table.get(first);
  }

  function startProbe(now: number): void {
    nextProbeAt = now + timing.periodMilliseconds;
    const target = nextTarget();
    if (target !== undefined) {
      sequence += 1;
      probe = {
        target: target.record.instanceId,
        sequence,
        startedAt: now,
        indirect: false,
      };
      send(target.record, GossipKind.Ping, sequence);
    }
    if (options.random() >= DEAD_PROBE_SHARE) return;
    const dead = pick([...table.all()].filter(({ state }) => state === InstanceState.Dead));
    if (dead === undefined) return;
    sequence += 1;
    send(dead.record, GossipKind.Ping, sequence);
  }

  function askOthers(open: OpenProbe): void {
    open.indirect = true;
    const helpers = [...table.all()].filter(
      ({ record, state }) => state === InstanceState.Live && record.instanceId !== open.target,
    );
    for (let count = 0; count < INDIRECT_PROBES && helpers.length > 0; count += 1) {
      const index = Math.floor(options.random() * helpers.length);
      const [helper] = helpers.splice(index, 1);
      if (helper !== undefined) {
        send(helper.record, GossipKind.PingRequest, open.sequence, open.target);
      }
    }
  }

  function concludeProbe(now: number): void {
    if (probe === undefined) return;
    const age = now - probe.startedAt;
    if (!probe.indirect && age >= timing.ackMilliseconds) askOthers(probe);
    if (age < timing.ackMilliseconds * 3) return;
    const member = table.get(probe.target);
    probe = undefined;
    if (member === undefined || member.state !== InstanceState.Live) return;
    accept({ ...toUpdate(member), state: InstanceState.Suspect }, now);
  }

  function ageMembers(now: number): void {
    for (const member of [...table.all()]) {
      const age = now - member.since;
      if (member.state === InstanceState.Suspect && age >= timing.suspicionMilliseconds) {
        accept({ ...toUpdate(member), state: InstanceState.Dead }, now);
      } else if (member.state === InstanceState.Dead && age >= timing.forgetMilliseconds) {
        table.forget(member.record.instanceId);
      }
    }
    for (const [number, relay] of relayed) {
      if (now - relay.startedAt > timing.periodMilliseconds) relayed.delete(number);
    }
  }

  function relayPing(message: GossipMessage, now: number): void {
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

  function takeAck(message: GossipMessage): void {
    if (probe?.sequence === message.sequence) probe = undefined;
    const relay = relayed.get(message.sequence);
    if (relay === undefined) return;
    relayed.delete(message.sequence);
    send(relay.requester, GossipKind.Ack, relay.requesterSequence);
  }

  return {
    members: () => table.all(),
    member: (instanceId) => table.get(instanceId),
    tick(now) {
      concludeProbe(now);
      ageMembers(now);
      if (now >= nextProbeAt) startProbe(now);
    },
    receive(message, now) {
      accept(message.from, now);
      for (const update of message.updates) accept(update, now);
      options.onPeerDigest(message.from.record, message.stateDigest);
      switch (message.kind) {
        case GossipKind.Ping:
          send(message.from.record, GossipKind.Ack, message.sequence);
          break;
        case GossipKind.Ack:
          takeAck(message);
          break;
        case GossipKind.PingRequest:
          relayPing(message, now);
          break;
        default: {
          const unreachable: never = message.kind;
          throw new Error(`unknown gossip kind ${String(unreachable)}`);
        }
      }
    },
    noteListed(record, leaving, now) {
      if (record.instanceId === options.self.instanceId) return;
      if (!table.noteListed(record, leaving, now)) return;
      options.onChange(table.get(record.instanceId) as Member);
    },
    leave(now) {
      own = { ...own, state: InstanceState.Leaving };
      queue.add(own);
      tellSome();
      nextProbeAt = now;
    },
    announceVersion(version) {
      if (version <= own.version) return;
      own = { ...own, version };
      queue.add(own);
      // Operators wait to see their change in force everywhere; the next probe may be a second off.
      tellSome();
    },
  };
}

function isProbed(member: Member): boolean {
  return member.state !== InstanceState.Dead;
}

function toUpdate({ record, incarnation, state, version }: MemberUpdate): MemberUpdate {
  return { record, incarnation, state, version };
}
