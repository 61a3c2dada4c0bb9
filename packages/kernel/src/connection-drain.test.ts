/**
 * Which connections of an HTTP server count as idle.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import { createConnectionDrain } from './connection-drain.js';
import type { ConnectionDrain } from './connection-drain.js';
import { sleep } from './index.js';

const HOST = '127.0.0.1';
const REQUEST = 'GET / HTTP/1.1\r\nhost: test\r\n\r\n';
/** More than what the kernel takes for a caller that does not read. */
const LARGE_BODY = Buffer.alloc(48 * 1024 * 1024, 'a');
const POLL_MILLISECONDS = 20;
const CLOSE_ATTEMPTS = 10;

interface Caller {
  readonly socket: Socket;
  receivedBytes(): number;
  received(): string;
  readonly closed: Promise<void>;
}

let server: Server;
let drain: ConnectionDrain;
const callers: Caller[] = [];

afterEach(() => {
  for (const { socket } of callers.splice(0)) socket.destroy();
  server.closeAllConnections();
  server.close();
});

async function start(handler: RequestListener): Promise<void> {
  server = createServer(handler);
  drain = createConnectionDrain(server);
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
}

function address(): AddressInfo {
  return server.address() as AddressInfo;
}

async function call(text: string): Promise<Caller> {
  const { port } = address();
  const socket = connect(port, HOST);
  const chunks: Buffer[] = [];
  socket.on('data', (chunk) => chunks.push(chunk));
  socket.on('error', () => undefined);
  const caller = {
    socket,
    receivedBytes: () => chunks.reduce((sum, chunk) => sum + chunk.length, 0),
    received: () => Buffer.concat(chunks).toString('latin1'),
    closed: new Promise<void>((resolve) => {
      socket.once('close', () => resolve());
    }),
  };
  callers.push(caller);
  const accepted = new Promise((resolve) => {
    server.once('connection', resolve);
  });
  await accepted;
  socket.write(text);
  await sleep(POLL_MILLISECONDS);
  return caller;
}

/** Closes what is idle as often as a stop does. */
async function closeIdleRepeatedly(): Promise<void> {
  for (let attempt = 0; attempt < CLOSE_ATTEMPTS; attempt += 1) {
    drain.closeIdle();
    await sleep(POLL_MILLISECONDS);
  }
}

async function until(isDone: () => boolean): Promise<void> {
  while (!isDone()) await sleep(POLL_MILLISECONDS);
}

/** Requests a body and leaves most of it in the process of the server. */
async function callWithoutReading(): Promise<Caller> {
  await start((_incoming, response) => void response.end(LARGE_BODY));
  const caller = await call('');
  caller.socket.pause();
  caller.socket.write(REQUEST);
  await sleep(POLL_MILLISECONDS);
  return caller;
}

async function expectWholeBody({ socket, receivedBytes }: Caller): Promise<void> {
  socket.resume();
  await until(() => receivedBytes() > LARGE_BODY.length || socket.destroyed);
  expect(receivedBytes()).toBeGreaterThan(LARGE_BODY.length);
}

describe('the idle connections of a stopping server', () => {
  it('are those without a request, and those whose answer was read', async () => {
    await start((_incoming, response) => void response.end('whole'));
    const unused = await call('');
    const answered = await call(REQUEST);
    await until(() => answered.received().endsWith('whole'));
    expect(drain.openCount()).toBe(2);
    drain.closeIdle();
    await Promise.all([unused.closed, answered.closed]);
    await until(() => drain.openCount() === 0);
  });

  it('do not include those whose answer the caller still reads', async () => {
    // Guards against answers that are truncated at callers that read slowly.
    const caller = await callWithoutReading();
    await closeIdleRepeatedly();
    await expectWholeBody(caller);
    await closeIdleRepeatedly();
    await caller.closed;
  });

  it('outlast the end of listening while their answer is read', async () => {
    // Guards against answers that are truncated when the server closes its listener.
    const caller = await callWithoutReading();
    const { port } = address();
    const stopped = drain.stopListening();
    await sleep(POLL_MILLISECONDS);
    await expectWholeBody(caller);
    const refused = connect(port, HOST);
    await expect(once(refused, 'connect')).rejects.toThrow('ECONNREFUSED');
    await closeIdleRepeatedly();
    await stopped;
  });

  it('do not include those that have been idle for less than the given time', async () => {
    await start((_incoming, response) => void response.end('whole'));
    const caller = await call(REQUEST);
    await until(() => caller.received().endsWith('whole'));
    drain.closeIdle(60_000);
    await sleep(POLL_MILLISECONDS);
    expect(drain.openCount()).toBe(1);
    drain.closeIdle(POLL_MILLISECONDS / 2);
    await caller.closed;
  });

  it('do not include those whose request is in progress', async () => {
    let finish = (): void => undefined;
    await start((_incoming, response) => {
      finish = () => void response.end('whole');
    });
    const caller = await call(REQUEST);
    await closeIdleRepeatedly();
    finish();
    await until(() => caller.received().endsWith('whole') || caller.socket.destroyed);
    expect(caller.received()).toMatch(/whole$/);
  });

  it.each([
    ['a first request', ''],
    ['a further request', REQUEST],
  ])('do not include those on which %s was received in part', async (_name, before) => {
    await start((_incoming, response) => void response.end('whole'));
    const caller = await call(before);
    caller.socket.write(REQUEST.slice(0, 20));
    await sleep(POLL_MILLISECONDS);
    await closeIdleRepeatedly();
    caller.socket.write(REQUEST.slice(20));
    const answers = before === '' ? 1 : 2;
    await until(() => caller.received().split('whole').length > answers || caller.socket.destroyed);
    expect(caller.received().split('whole')).toHaveLength(answers + 1);
    await closeIdleRepeatedly();
    await caller.closed;
  });

  it('do not include those whose request body still arrives after the answer', async () => {
    await start((_incoming, response) => void response.end('whole'));
    const caller = await call('POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 6\r\n\r\nabc');
    await until(() => caller.received().endsWith('whole'));
    await closeIdleRepeatedly();
    expect(caller.socket.destroyed).toBe(false);
    caller.socket.write('def');
    await sleep(POLL_MILLISECONDS);
    await closeIdleRepeatedly();
    await caller.closed;
  });

  it('include those whose request body was received but never read', async () => {
    await start((_incoming, response) => void setTimeout(() => response.end('whole'), 50));
    const caller = await call('POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 3\r\n\r\nabc');
    await until(() => caller.received().endsWith('whole'));
    await closeIdleRepeatedly();
    await caller.closed;
  });
});

describe('pipelined requests', () => {
  it('learn that their caller has disconnected while they wait for an earlier one', async () => {
    // Guards against requests that go on for a caller that is gone.
    let closed = 0;
    let received = 0;
    await start((_incoming, response) => {
      received += 1;
      response.on('close', () => {
        closed += 1;
      });
    });
    const { socket } = await call(REQUEST.repeat(3));
    while (received < 3) await sleep(POLL_MILLISECONDS);
    socket.destroy();
    while (drain.openCount() > 0) await sleep(POLL_MILLISECONDS);
    await sleep(POLL_MILLISECONDS);
    expect(closed).toBe(3);
  });
});
