/**
 * Runs the prober over UDP and seeds it from the platform's instance list, which lags behind.
 */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';

import type { MonotonicClock } from '@lapisbridge/kernel';
import type { InstanceRecord, InstanceState } from '@lapisbridge/types';
import { InstanceState as State } from '@lapisbridge/types';
import { Encoder } from 'cbor-x';

import type { GossipMessage } from './gossip.js';
import type { Member } from './member-table.js';
import { createProber } from './prober.js';
import type { Prober } from './prober.js';

const TICK_PERIOD_MILLISECONDS = 250;
const LIST_POLL_MILLISECONDS = 2500;
/** Repetitions of the leave announcement, so that one lost datagram does not suppress it. */
const LEAVE_ANNOUNCEMENTS = 3;

/** An entry of the platform's instance list. */
export interface ListedInstanceView {
  readonly record: InstanceRecord;
  readonly state: InstanceState.Live | InstanceState.Leaving;
}

export interface MembershipOptions {
  readonly self: InstanceRecord;
  readonly clock: MonotonicClock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Reads the platform's instance list; a failed read is ignored until the next poll. */
  listInstances(): Promise<readonly ListedInstanceView[]>;
  /** Digest of the shared state, sent with every message. */
  stateDigest(): string;
  onChange(member: Member): void;
  onPeerDigest(peer: InstanceRecord, digest: string): void;
  /** Called at each poll in which the platform's list shows this instance as leaving. */
  onOwnLeaving?(): void;
}

export interface Membership {
  /** Binds the UDP socket and reads the list once; rejects if the address cannot be bound. */
  start(): Promise<void>;
  /** Announces that this instance is leaving, then closes the socket. */
  stop(): Promise<void>;
  members(): Iterable<Member>;
  member(instanceId: string): Member | undefined;
  announceVersion(version: number): void;
  announceLeaving(): void;
  /** Messages and encoded bytes since the start, for metrics and capacity planning. */
  readonly traffic: GossipTraffic;
}

export interface GossipTraffic {
  sentMessages: number;
  sentBytes: number;
  receivedMessages: number;
  receivedBytes: number;
}

const codec = new Encoder({ useRecords: false });

export function createMembership(options: MembershipOptions): Membership {
  const { self, clock } = options;
  const traffic: GossipTraffic = {
    sentMessages: 0,
    sentBytes: 0,
    receivedMessages: 0,
    receivedBytes: 0,
  };
  let socket: Socket | undefined;
  let tickTimer: NodeJS.Timeout | undefined;
  let listPollTimer: NodeJS.Timeout | undefined;
  let stopped = false;

  function send(to: InstanceRecord, message: GossipMessage): void {
    const bytes = codec.encode(message);
    traffic.sentMessages += 1;
    traffic.sentBytes += bytes.length;
    // Send errors are ignored: probing detects unreachable peers.
    socket?.send(bytes, to.peerPort, to.host, () => undefined);
  }

  const prober: Prober = createProber({
    self,
    // Wall-clock seconds serve only as the first value: a restarted instance must start above the
    // incarnation of its earlier run.
    incarnation: Math.floor(Date.now() / 1000),
    random: options.random,
    send,
    stateDigest: () => options.stateDigest(),
    onChange: (member) => options.onChange(member),
    onPeerDigest: (peer, digest) => options.onPeerDigest(peer, digest),
  });

  function receive(bytes: Buffer): void {
    traffic.receivedMessages += 1;
    traffic.receivedBytes += bytes.length;
    let message: GossipMessage;
    try {
      message = codec.decode(bytes) as GossipMessage;
      if (message.from.record.environment !== self.environment) return;
    } catch {
      // A malformed datagram does not come from a member and can be dropped.
      return;
    }
    prober.receive(message, clock());
  }

  async function pollInstanceList(): Promise<void> {
    try {
      for (const { record, state } of await options.listInstances()) {
        const leaving = state === State.Leaving;
        if (record.instanceId === self.instanceId && leaving) options.onOwnLeaving?.();
        prober.mergeListed(record, leaving, clock());
      }
    } catch {
      // The list only seeds the member table; gossip continues with the known members.
    }
  }

  function scheduleListPoll(): void {
    if (stopped) return;
    const jittered = LIST_POLL_MILLISECONDS * (0.5 + options.random());
    listPollTimer = setTimeout(() => void pollInstanceList().then(scheduleListPoll), jittered);
  }

  return {
    traffic,
    async start() {
      const boundSocket = createSocket(self.host.includes(':') ? 'udp6' : 'udp4');
      socket = boundSocket;
      await new Promise<void>((resolve, reject) => {
        boundSocket.once('error', reject);
        boundSocket.bind(self.peerPort, self.host, () => {
          boundSocket.removeListener('error', reject);
          resolve();
        });
      });
      boundSocket.on('message', receive);
      boundSocket.on('error', () => undefined);
      await pollInstanceList();
      scheduleListPoll();
      tickTimer = setInterval(() => prober.tick(clock()), TICK_PERIOD_MILLISECONDS);
    },
    async stop() {
      stopped = true;
      clearTimeout(listPollTimer);
      clearInterval(tickTimer);
      for (let count = 0; count < LEAVE_ANNOUNCEMENTS; count += 1) prober.leave(clock());
      await new Promise<void>((resolve) => {
        if (socket === undefined) resolve();
        else socket.close(() => resolve());
      });
    },
    members: () => prober.members(),
    member: (instanceId) => prober.member(instanceId),
    announceVersion: (version) => prober.announceVersion(version),
    announceLeaving: () => prober.leave(clock()),
  };
}
