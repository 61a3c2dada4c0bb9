import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { afterEach, expect, it } from 'vitest';

import { callJson } from './call-json.js';

const TIMEOUT_MILLISECONDS = 20_000;

const server = createServer();

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

function writeEndlessly(socket: Socket, head: string, line: string): void {
  const piece = line.repeat(1000);
  function writeMore(): void {
    while (!socket.destroyed && socket.write(piece)) {
      // The socket takes more.
    }
  }
  socket.on('drain', () => setImmediate(writeMore));
  socket.write(head);
  writeMore();
}

it.each([
  ['informational responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n', 'too many informational'],
  ['header lines', 'HTTP/1.1 200 OK\r\n', 'more: header\r\n', 'Header overflow'],
  ['a body', 'HTTP/1.1 200 OK\r\n\r\n{"a":"', 'more of the body', 'too large'],
])('rejects %s without end at once', async (_, head, line, reason) => {
  // Guards against an engine or a store whose answer exhausts the memory of the caller.
  server.removeAllListeners('request');
  server.on('request', ({ socket }) => writeEndlessly(socket, head, line));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const startedAt = performance.now();
  const call = callJson({
    host: '127.0.0.1',
    port,
    method: 'GET',
    path: '/',
    body: undefined,
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
  });
  await expect(call).rejects.toThrow(reason);
  expect(performance.now() - startedAt).toBeLessThan(TIMEOUT_MILLISECONDS / 4);
});
