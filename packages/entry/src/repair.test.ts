/**
 * The entry's side of whole answers, against a sidecar that misbehaves on the wire.
 */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import { checkDocument } from '@lapisbridge/config';
import type { EnvironmentDocument } from '@lapisbridge/config';
import type { Instance } from '@lapisbridge/instance';
import { monotonicClock } from '@lapisbridge/kernel';
import { createSilentLogger } from '@lapisbridge/logger';
import { createRetryBudget } from '@lapisbridge/routing';
import { createSharedState } from '@lapisbridge/shared-state';
import { BackendServerKind, InstanceState, Role } from '@lapisbridge/types';
import type { InstanceRecord, LoadReport } from '@lapisbridge/types';
import { createFrameReader, encodeFrame, MessageKind } from '@lapisbridge/wire';
import type { DraftStart, Message, Resume } from '@lapisbridge/wire';
import { afterEach, describe, expect, it } from 'vitest';

import type { AnswerSink } from './answer-sink.js';
import { createBackendPool } from './backend-pool.js';
import type { BackendPool } from './backend-pool.js';
import { createDeadline } from './deadline.js';
import { serveDraft } from './draft.js';
import type { DraftContext } from './draft-state.js';
import { INITIAL_CREDIT } from './draft-attempt.js';

const MODEL = 'model';
const HELLO = {
  kind: MessageKind.Hello,
  protocolVersion: 1,
  environment: 'test',
  availabilityZone: 'a',
} as const;
const LOAD: LoadReport = {
  running: 0,
  queued: 0,
  limit: 8,
  inFlightTokens: 0,
  stepMilliseconds: 10,
  warm: true,
  backendReachable: true,
  storeReachable: true,
  draining: false,
};
const BEAT_MILLISECONDS = 200;

/** Sends one message on the sidecar's side of a connection. */
type Send = (message: Message) => void;

interface FakeSidecar {
  /** Called for each connection by its number, from 0; what it returns gets the messages. */
  connect(connection: number, send: Send): (message: Message) => void;
  /** Whether that connection says anything on its own. */
  beats(connection: number): boolean;
}

const servers: Server[] = [];
const sockets: Socket[] = [];
const pools: BackendPool[] = [];

afterEach(() => {
  for (const pool of pools.splice(0)) pool.stop();
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const server of servers.splice(0)) server.close();
});

function listen(sidecar: FakeSidecar): Promise<number> {
  let connections = 0;
  const server = createServer((socket) => {
    sockets.push(socket);
    const connection = connections;
    connections += 1;
    const send: Send = (message) => void socket.write(encodeFrame(message));
    const onMessage = sidecar.connect(connection, send);
    const reader = createFrameReader();
    const beat = setInterval(() => {
      if (sidecar.beats(connection)) {
        send({ kind: MessageKind.Heartbeat, stateDigest: '', load: LOAD });
      }
    }, BEAT_MILLISECONDS);
    socket.on('close', () => clearInterval(beat));
    socket.on('error', () => undefined);
    socket.on('data', (bytes: Buffer) => {
      for (const message of reader.push(bytes)) {
        if (message.kind === MessageKind.Hello) send({ ...HELLO, instanceId: 's', load: LOAD });
        else onMessage(message);
      }
    });
  });
  servers.push(server);
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port));
  });
}

function record(role: Role, instanceId: string, peerPort: number): InstanceRecord {
  return {
    instanceId,
    role,
    environment: 'test',
    availabilityZone: 'a',
    host: '127.0.0.1',
    peerPort,
    ...(role === Role.Sidecar
      ? { backendServer: { kind: BackendServerKind.ModelRunner, names: [MODEL] } }
      : {}),
  };
}

function fakeInstance(port: number): Instance {
  const member = {
    record: record(Role.Sidecar, 's', port),
    incarnation: 1,
    state: InstanceState.Live,
    version: 0,
    stateSinceMilliseconds: 0,
    listedLeaving: false,
  };
  const logger = createSilentLogger();
  const parts: Partial<Instance> = {
    self: record(Role.Entry, 'e', 1),
    logger,
    random: () => 0.5,
    state: createSharedState('test', logger),
    membership: {
      members: () => [member],
      member: (instanceId: string) => (instanceId === 's' ? member : undefined),
    } as unknown as Instance['membership'],
    hello: () => ({ ...HELLO, instanceId: 'e' }),
    heartbeat: () => ({ stateDigest: '' }),
    heardDigest: () => undefined,
  };
  return parts as Instance;
}

async function createContext(sidecar: FakeSidecar): Promise<DraftContext> {
  const instance = fakeInstance(await listen(sidecar));
  const pool = createBackendPool({ instance, subsetSize: () => 8 });
  pools.push(pool);
  pool.start();
  await pool.connect('s', 5000);
  return {
    pool,
    logger: instance.logger,
    random: instance.random,
    budget: createRetryBudget({ ratio: () => 0.1, now: monotonicClock }),
    nextTurn: () => 0,
    entryId: 'e',
    ownZone: 'a',
  };
}

const DOCUMENT: EnvironmentDocument = checkDocument(
  JSON.stringify({
    name: 'test',
    accounts: [],
    models: [{ name: MODEL }],
    availabilityZones: [{ name: 'a' }],
  }),
).unsafeCoerce();

interface Collected {
  text: string;
  finished: boolean;
  drain: (() => void) | undefined;
}

function serve(context: DraftContext, collected: Collected, flowing = true): Promise<void> {
  const sink: AnswerSink = {
    write(text) {
      collected.text += text;
      return flowing;
    },
    onDrain(listener) {
      collected.drain = listener;
    },
    finish() {
      collected.finished = true;
    },
    fail: () => undefined,
  };
  return serveDraft(context, {
    requestId: 'request-1',
    account: 'account',
    body: { model: MODEL, messages: [{ role: 'user', content: 'x' }] },
    document: DOCUMENT,
    model: DOCUMENT.models[0],
    deadline: createDeadline(30_000),
    sink,
    callerGone: new AbortController().signal,
    resumable: true,
    resumeFrom: undefined,
    onFirstText: () => undefined,
  });
}

function chunk(start: DraftStart | Resume, offset: number, text: string): Message {
  const { requestId, attempt } = start;
  return { kind: MessageKind.Chunk, requestId, attempt, offset, text, tokens: 1 };
}

function end(start: DraftStart | Resume, totalCharacters: number): Message {
  const { requestId, attempt } = start;
  return {
    kind: MessageKind.End,
    requestId,
    attempt,
    totalCharacters,
    finishReason: 'stop',
    completionTokens: 2,
  };
}

function collect(): Collected {
  return { text: '', finished: false, drain: undefined };
}

describe('an answer on its way through the entry', () => {
  it('goes on over a new connection when the old one falls silent', async () => {
    // Something between entry and sidecar lost track of the connection: it stays open and nothing
    // comes any more, while new connections work. Without noticing, the caller's draft would stop
    // in the middle until its deadline.
    const resumed: Resume[] = [];
    const context = await createContext({
      beats: (connection) => connection > 0,
      connect: (_connection, send) => (message) => {
        if (message.kind === MessageKind.DraftStart) send(chunk(message, 0, 'one '));
        if (message.kind === MessageKind.Resume) {
          resumed.push(message);
          send(chunk(message, 4, 'two '));
          send(end(message, 8));
        }
      },
    });
    const collected = collect();
    await serve(context, collected);
    expect(collected).toMatchObject({ text: 'one two ', finished: true });
    expect(resumed.map(({ offset }) => offset)).toEqual([4]);
  });

  it('drops late, doubled and foreign pieces', async () => {
    // Pieces of an earlier attempt arrive after a new one began, some pieces arrive twice, and some
    // belong to another request on the same connection. Passing them on would mix texts.
    const context = await createContext({
      beats: () => true,
      connect: (_connection, send) => (message) => {
        if (message.kind !== MessageKind.DraftStart) return;
        send(chunk(message, 0, 'one '));
        send(chunk({ ...message, attempt: 99 }, 4, 'old '));
        send(chunk({ ...message, requestId: 'other' }, 4, 'foreign '));
        send(chunk(message, 0, 'one '));
        send(chunk(message, 2, 'e two '));
        send(end(message, 8));
      },
    });
    const collected = collect();
    await serve(context, collected);
    expect(collected).toMatchObject({ text: 'one two ', finished: true });
  });

  it.each([
    ['a piece is missing', 6, 'three ', 12],
    ['the total does not fit', 4, 'two ', 20],
  ])('asks again when %s', async (_what, offset, text, total) => {
    // A piece was lost although the connection stayed up. An end mark over the gap would make half
    // an answer look whole.
    const context = await createContext({
      beats: () => true,
      connect: (_connection, send) => (message) => {
        if (message.kind === MessageKind.DraftStart) {
          send(chunk(message, 0, 'one '));
          send(chunk(message, offset, text));
          send(end(message, total));
        }
        if (message.kind === MessageKind.Resume) {
          const whole = 'one two three ';
          send(chunk(message, message.offset, whole.slice(message.offset)));
          send(end(message, whole.length));
        }
      },
    });
    const collected = collect();
    await serve(context, collected);
    expect(collected).toMatchObject({ text: 'one two three ', finished: true });
  });

  it('gives no more credit while its caller does not read', async () => {
    // A caller that stops reading would otherwise make the entry hold the whole answer in memory,
    // and with many such callers the entry would die and take everybody's answers along.
    let given = INITIAL_CREDIT;
    let sent = 0;
    const total = INITIAL_CREDIT * 3;
    const context = await createContext({
      beats: () => true,
      connect: (_connection, send) => {
        let start: DraftStart | undefined;
        const pump = (): void => {
          while (start !== undefined && sent < given && sent < total) {
            const text = 'x'.repeat(Math.min(1024, given - sent, total - sent));
            send(chunk(start, sent, text));
            sent += text.length;
            if (sent === total) send(end(start, total));
          }
        };
        return (message) => {
          if (message.kind === MessageKind.DraftStart) start = message;
          if (message.kind === MessageKind.Credit) given += message.characters;
          pump();
        };
      },
    });
    const collected = collect();
    const served = serve(context, collected, false);
    while (collected.text.length < INITIAL_CREDIT) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
    expect(given).toBe(INITIAL_CREDIT);
    const reading = setInterval(() => collected.drain?.(), 1);
    await served;
    clearInterval(reading);
    expect(collected.text).toHaveLength(total);
  });
});
