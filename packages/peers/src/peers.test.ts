import { createSocket } from 'node:dgram';

import { createSilentLogger } from '@lapisbridge/logger';
import { afterEach, expect, it } from 'vitest';

import { createPeers, encodeMessage, PeerRole } from './index.js';
import type { Peers } from './index.js';

const HOST = '127.0.0.1';
const SIDECAR = {
  instanceId: 'sidecar',
  host: '127.0.0.2',
  role: PeerRole.Sidecar,
  availabilityZone: 'a',
};

let peers: Peers | undefined;

afterEach(() => peers?.stop());

async function freePort(): Promise<number> {
  const socket = createSocket('udp4');
  await new Promise<void>((resolve) => {
    socket.bind(0, HOST, resolve);
  });
  const { port } = socket.address();
  socket.close();
  return port;
}

interface Heard {
  now: number;
  /** Numbers of the messages that were taken, in order. */
  readonly sequences: number[];
  /** Sends messages with these numbers, and waits until the last of them was taken. */
  send(...sequences: number[]): Promise<void>;
}

async function listen(): Promise<Heard> {
  const port = await freePort();
  let taken: () => void = () => undefined;
  let awaited = 0;
  const heard: Heard = {
    now: 0,
    sequences: [],
    async send(...sequences) {
      awaited = sequences.at(-1) ?? 0;
      const last = new Promise<void>((resolve) => {
        taken = resolve;
      });
      const socket = createSocket('udp4');
      for (const sequence of sequences) {
        const message = { from: SIDECAR, sequence, members: [], state: {} };
        await new Promise<void>((resolve) => {
          socket.send(encodeMessage(message), port, HOST, () => resolve());
        });
      }
      await last;
      socket.close();
    },
  };
  peers = createPeers({
    self: { instanceId: 'entry', host: HOST, role: PeerRole.Entry, availabilityZone: 'a' },
    port,
    logger: createSilentLogger(),
    hosts: () => [],
    describe: () => ({}),
    onMessage({ sequence }) {
      heard.sequences.push(sequence);
      if (sequence === awaited) taken();
    },
    now: () => heard.now,
    random: () => 0,
    beatMilliseconds: 1000,
    pauseTo: () => 1000,
  });
  await peers.start();
  return heard;
}

it('drops a message that an earlier one has overtaken', async () => {
  // Datagrams overtake each other. An older load that is taken last would send callers to a server
  // that is full by now.
  const heard = await listen();
  await heard.send(100, 99, 101);
  expect(heard.sequences).toEqual([100, 101]);
});

it('hears an instance again that restarted with its clock set back', async () => {
  // Numbers of a new process begin at its time of day. Set back by an hour, they are lower than
  // those of the process before, and the instance would not be heard for an hour.
  const heard = await listen();
  await heard.send(3_600_000);
  heard.now += 1000;
  await heard.send(5);
  expect(heard.sequences).toEqual([3_600_000, 5]);
});
