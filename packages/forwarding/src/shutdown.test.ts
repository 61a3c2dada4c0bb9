/**
 * Shutdown of an entry's listener while callers connect.
 */
import { Worker } from 'node:worker_threads';

import { afterEach, expect, it } from 'vitest';

import { respondWith, startFixture } from './forwarding-fixture.js';
import type { Fixture } from './forwarding-fixture.js';

/** Long enough for the caller's connection to wait in the listener's queue. */
const STALL_MILLISECONDS = 300;

/** A caller in a thread of its own: it connects while the entry's event loop is blocked. */
const CALLER = `
  const { request } = require('node:http');
  const { parentPort, workerData } = require('node:worker_threads');
  parentPort.postMessage('ready');
  Atomics.wait(workerData.signal, 0, 0);
  const outgoing = request({
    host: '127.0.0.1',
    port: workerData.port,
    path: '/path',
    method: 'POST',
    headers: { 'request-id': 'late' },
  });
  outgoing.on('response', (incoming) => {
    incoming.resume();
    parentPort.postMessage(incoming.statusCode);
  });
  outgoing.on('error', (error) => parentPort.postMessage(error.code));
  outgoing.end('body');
`;

let worker: Worker | undefined;

afterEach(() => worker?.terminate());

function nextMessage(from: Worker): Promise<unknown> {
  return new Promise((resolve) => {
    from.once('message', resolve);
  });
}

it('answers a caller that has connected by the time at which the listener closes', async () => {
  // Guards against connections that the kernel has accepted and that are reset unread.
  const fixture: Fixture = await startFixture({ servers: { one: respondWith('whole') } });
  const signal = new Int32Array(new SharedArrayBuffer(4));
  worker = new Worker(CALLER, { eval: true, workerData: { signal, port: fixture.port } });
  await nextMessage(worker);
  const outcome = nextMessage(worker);
  const closed = fixture.close();
  Atomics.store(signal, 0, 1);
  Atomics.notify(signal, 0);
  const end = performance.now() + STALL_MILLISECONDS;
  while (performance.now() < end);
  expect(await outcome).toEqual(expect.any(Number));
  await closed;
});
