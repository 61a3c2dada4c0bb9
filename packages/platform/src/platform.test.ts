/**
 * Calls to the platform over connections that go silent, and reading back lost writes.
 */
import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { ResultCode } from '@lapisbridge/errors';
import { afterEach, describe, expect, it } from 'vitest';

import { createPlatform, createStoreWatcher } from './index.js';
import type { Platform } from './index.js';

const TIMEOUT_MILLISECONDS = 150;
const servers: Server[] = [];
const platforms: Platform[] = [];

afterEach(() => {
  for (const platform of platforms.splice(0)) platform.close();
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

async function start(
  answer: (socket: Socket, response: ServerResponse) => void,
): Promise<Platform> {
  const server = createServer((request, response) => answer(request.socket, response));
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve());
  });
  const { port } = server.address() as AddressInfo;
  const platform = createPlatform({
    url: `http://127.0.0.1:${port}`,
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
  });
  platforms.push(platform);
  return platform;
}

describe('a call to the platform', () => {
  // Guards against taking a row whose response was cut for a row that does not exist.
  it('fails when its response is reset after the head', async () => {
    const platform = await start((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n', () => socket.resetAndDestroy());
    });
    const unavailable = { code: ResultCode.StoreUnavailable };
    await expect(platform.table.read('key')).rejects.toMatchObject(unavailable);
    await expect(platform.table.list('prefix')).rejects.toMatchObject(unavailable);
    await expect(platform.table.transact([])).rejects.toMatchObject(unavailable);
  });

  it('uses a fresh connection after one went silent', async () => {
    // Something between here and the platform lost track of a pooled connection. The platform is
    // well, and without replacing the pool every later call on that connection would time out too.
    const silent = new Set<Socket>();
    let calls = 0;
    const platform = await start((socket, response) => {
      calls += 1;
      if (calls === 2) silent.add(socket);
      if (silent.has(socket)) return;
      response.end(JSON.stringify({ key: 'k', version: 1, value: calls }));
    });
    await platform.table.read('k');
    await expect(platform.table.read('k')).rejects.toMatchObject({
      code: ResultCode.StoreUnavailable,
    });
    expect(await platform.table.read('k')).toMatchObject({ version: 1 });
  });

  it('fails with the code of an unavailable store when the platform answers with an error', async () => {
    const platform = await start((_socket, response) => {
      response.statusCode = 503;
      response.end('{}');
    });
    await expect(platform.listInstances('x')).rejects.toMatchObject({
      code: ResultCode.StoreUnavailable,
    });
  });
});

describe('the watch on the table', () => {
  it('finds out by itself that the table is back', async () => {
    // After an outage nobody sends at-most-once calls to a sidecar that says it cannot reach the
    // table. Only by asking itself can it learn that it can.
    let up = false;
    const platform = await start((_socket, response) => {
      if (!up) response.statusCode = 503;
      response.end('{}');
    });
    const watcher = createStoreWatcher(platform.table, () => 0);
    watcher.note(false);
    expect(watcher.reachable).toBe(false);
    up = true;
    while (!watcher.reachable) {
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
    watcher.stop();
    expect(watcher.reachable).toBe(true);
  });
});
