/**
 * The UDP socket of one instance. Numbers outgoing datagrams, and drops incoming ones that are
 * duplicated or out of order.
 */
import { createSocket } from 'node:dgram';

import type { Logger } from '@lapisbridge/logger';

import { decodeDatagram, encodeDatagram } from './message.js';
import type { FleetMessage, InstanceName } from './message.js';

export interface DatagramLink {
  start(): Promise<void>;
  stop(): void;
  send(host: string, message: FleetMessage): void;
  /** Datagrams and bytes sent since the process started, by message kind. */
  sent(): ReadonlyMap<string, SentCount>;
}

export interface SentCount {
  datagrams: number;
  bytes: number;
}

export interface DatagramLinkOptions {
  readonly self: InstanceName;
  readonly port: number;
  readonly logger: Logger;
  onMessage(from: InstanceName, message: FleetMessage): void;
  now(): number;
}

interface SenderState {
  sequence: number;
  receivedAt: number;
}

/**
 * After this much silence a sender may have restarted with a lower sequence number, so any number
 * is accepted.
 */
const SEQUENCE_RESET_MILLISECONDS = 700;
/** Bounds the memory for senders; no instance talks to as many. */
const MAXIMUM_SENDERS = 4096;

export function createDatagramLink(options: DatagramLinkOptions): DatagramLink {
  const { self, port, logger, now } = options;
  const socket = createSocket('udp4');
  const senders = new Map<string, SenderState>();
  const sent = new Map<string, SentCount>();
  let sequence = Date.now();

  /** Returns false for a duplicate, and for a datagram that arrives after a later one. */
  function isInOrder(from: InstanceName, received: number): boolean {
    const known = senders.get(from.instanceId);
    const isLate =
      known !== undefined &&
      now() - known.receivedAt < SEQUENCE_RESET_MILLISECONDS &&
      received <= known.sequence;
    if (isLate) return false;
    if (senders.size >= MAXIMUM_SENDERS) senders.clear();
    senders.set(from.instanceId, { sequence: received, receivedAt: now() });
    return true;
  }

  function receive(bytes: Buffer): void {
    const datagram = decodeDatagram(bytes);
    if (datagram === undefined || datagram.from.instanceId === self.instanceId) return;
    if (!isInOrder(datagram.from, datagram.sequence)) return;
    options.onMessage(datagram.from, datagram.message);
  }

  return {
    async start() {
      await new Promise<void>((resolve, reject) => {
        socket.once('error', reject);
        socket.bind(port, self.host, resolve);
      });
      socket.on('error', (error) => logger.error('datagrams failed', { reason: error.message }));
      socket.on('message', receive);
    },
    stop: () => socket.close(),
    send(host, message) {
      sequence += 1;
      const bytes = encodeDatagram({ from: self, sequence, message });
      const count = sent.get(message.kind) ?? { datagrams: 0, bytes: 0 };
      count.datagrams += 1;
      count.bytes += bytes.length;
      sent.set(message.kind, count);
      socket.send(bytes, port, host, (error) => {
        if (error !== null) logger.debug('datagram not sent', { host, reason: error.message });
      });
    },
    sent: () => sent,
  };
}
