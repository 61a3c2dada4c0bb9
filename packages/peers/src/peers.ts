/**
 * Who else lives, by datagrams of fixed cost. Seeds and backend servers' hosts are where a new
 * instance first knocks; whoever answers names the others. Nothing is agreed on here: a wrong
 * or old view only makes shares smaller or a message later.
 */
import { createSocket } from 'node:dgram';

import { pickSome } from '@lapisbridge/kernel';
import type { Logger } from '@lapisbridge/logger';

import { decodeMessage, encodeMessage } from './message.js';
import type { PeerMessage, PeerName, PeerRole } from './message.js';

export interface Peer {
  readonly name: PeerName;
  /** Monotonic milliseconds. */
  readonly heardAt: number;
  readonly sequence: number;
  readonly state: Readonly<Record<string, unknown>>;
}

export interface Peers {
  start(): Promise<void>;
  stop(): void;
  /** Peers of a role that were heard lately. */
  live(role: PeerRole): readonly Peer[];
  /** Sends this instance's state to one peer now, with what else is to be told to it. */
  tell(name: PeerName, more?: Readonly<Record<string, unknown>>): void;
  /** Names of the instances of a role, this one included; a new list whenever it changes. */
  names(role: PeerRole): readonly string[];
  /** Largest number of instances of a role seen in the last half minute, this one included. */
  countOf(role: PeerRole): number;
}

export interface PeersOptions {
  readonly self: PeerName;
  readonly port: number;
  readonly logger: Logger;
  /** Hosts to knock at beside the known peers. */
  hosts(): readonly string[];
  /** What goes to a peer; undefined sends nothing this time. */
  describe(to: PeerName | undefined): Readonly<Record<string, unknown>> | undefined;
  onMessage?(peer: Peer): void;
  now(): number;
  /** Uniform in [0, 1). */
  random(): number;
  /** Longest time between two looks at who is due a message. */
  readonly beatMilliseconds: number;
  /** Pause between two messages to a peer, in milliseconds. */
  pauseTo(to: PeerName): number;
}

/** A peer that was not heard for this long is taken to be out of reach: four beats and more. */
const SILENT_MILLISECONDS = 2500;
/** A peer that was not heard for this long is forgotten; it may be a machine that is gone. */
const FORGET_MILLISECONDS = 30_000;
/** A peer that was silent for this long may be a new life of its instance. */
const RESTART_MILLISECONDS = 700;
/** Each how many beats the members are named and unknown hosts are knocked at. */
const MEMBERS_EVERY = 4;
/**
 * Members named in a message of the usual kind: picked at random, so that in a fleet of hundreds
 * everybody is named to everybody within seconds and messages stay small.
 */
const USUAL_MEMBERS = 3;
/** Members named to a peer that was heard for the first time; about 4 KB. */
const FIRST_MEMBERS = 40;

export function createPeers(options: PeersOptions): Peers {
  const { self, logger, now } = options;
  const peers = new Map<string, Peer>();
  const rumoured = new Map<string, PeerName>();
  const toldAt = new Map<string, number>();
  const namesByRole = new Map<PeerRole, readonly string[]>();
  const socket = createSocket('udp4');
  let sequence = Date.now();
  let beats = 0;
  let timer: NodeJS.Timeout | undefined;

  function send(host: string, message: PeerMessage): void {
    socket.send(encodeMessage(message), options.port, host, (error) => {
      if (error !== null) logger.debug('datagram not sent', { host, reason: error.message });
    });
  }

  /** Some of the peers that were heard lately, each with the same chance. */
  function pickMembers(most: number): PeerName[] {
    const heard: PeerName[] = [];
    for (const { name, heardAt } of peers.values()) {
      if (now() - heardAt < SILENT_MILLISECONDS) heard.push(name);
    }
    return pickSome(heard, most, options.random);
  }

  function compose(to: PeerName | undefined, members: number): PeerMessage | undefined {
    const state = options.describe(to);
    if (state === undefined) return undefined;
    sequence += 1;
    return { from: self, sequence, members: pickMembers(members), state };
  }

  function tell(name: PeerName, members: number, more?: Readonly<Record<string, unknown>>): void {
    const message = compose(name, members);
    if (message === undefined) return;
    toldAt.set(name.instanceId, now());
    send(
      name.host,
      more === undefined ? message : { ...message, state: { ...message.state, ...more } },
    );
  }

  function namesOf(role: PeerRole): readonly string[] {
    const known = namesByRole.get(role);
    if (known !== undefined) return known;
    const names = self.role === role ? [self.instanceId] : [];
    for (const { name } of peers.values()) if (name.role === role) names.push(name.instanceId);
    namesByRole.set(role, names);
    return names;
  }

  function forgetSilent(): void {
    for (const [instanceId, { name, heardAt }] of peers) {
      if (now() - heardAt > FORGET_MILLISECONDS) {
        peers.delete(instanceId);
        toldAt.delete(instanceId);
        namesByRole.clear();
        logger.info('peer forgotten', { peer: instanceId, host: name.host });
      }
    }
  }

  function knock(): void {
    const known = new Set<string>([self.host]);
    for (const { name } of peers.values()) known.add(name.host);
    const hosts = [...options.hosts(), ...[...rumoured.values()].map(({ host }) => host)];
    rumoured.clear();
    for (const host of new Set(hosts)) {
      if (known.has(host)) continue;
      const message = compose(undefined, USUAL_MEMBERS);
      if (message !== undefined) send(host, message);
    }
  }

  function isDue(name: PeerName): boolean {
    const since = now() - (toldAt.get(name.instanceId) ?? -Infinity);
    // Timers fire late, never early: without half a beat of slack each pause would grow by one.
    return since >= options.pauseTo(name) - options.beatMilliseconds / 2;
  }

  function beat(): void {
    beats += 1;
    const withMembers = beats % MEMBERS_EVERY === 1;
    for (const { name } of peers.values()) {
      if (isDue(name)) tell(name, withMembers ? USUAL_MEMBERS : 0);
    }
    if (withMembers) {
      knock();
      forgetSilent();
    }
  }

  function receive(bytes: Buffer): void {
    const message = decodeMessage(bytes);
    if (message === undefined || message.from.instanceId === self.instanceId) return;
    const { from } = message;
    const known = peers.get(from.instanceId);
    // A restarted instance may count from a clock that was set back; silence makes way for it.
    const isFresh = known !== undefined && now() - known.heardAt < RESTART_MILLISECONDS;
    if (isFresh && message.sequence <= known.sequence) return;
    const peer = {
      name: from,
      heardAt: now(),
      sequence: message.sequence,
      state: message.state,
    };
    peers.set(from.instanceId, peer);
    for (const member of message.members) {
      if (member.instanceId !== self.instanceId && !peers.has(member.instanceId)) {
        rumoured.set(member.instanceId, member);
      }
    }
    if (known === undefined) {
      namesByRole.clear();
      logger.info('peer found', { peer: from.instanceId, host: from.host });
      tell(from, FIRST_MEMBERS);
    }
    options.onMessage?.(peer);
  }

  return {
    async start() {
      await new Promise<void>((resolve, reject) => {
        socket.once('error', reject);
        socket.bind(options.port, self.host, resolve);
      });
      socket.on('error', (error) => logger.error('datagrams failed', { reason: error.message }));
      socket.on('message', receive);
      knock();
      timer = setInterval(beat, options.beatMilliseconds);
    },
    stop() {
      clearInterval(timer);
      socket.close();
    },
    live(role) {
      const live: Peer[] = [];
      for (const peer of peers.values()) {
        if (peer.name.role === role && now() - peer.heardAt < SILENT_MILLISECONDS) live.push(peer);
      }
      return live;
    },
    tell: (name, more) => tell(name, 0, more),
    names: namesOf,
    countOf: (role) => namesOf(role).length,
  };
}
