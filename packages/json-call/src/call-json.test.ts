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

// Guards against taking a part of a response for an empty or a shorter one.
it.each(['content-length: 9', 'connection: close'])(
  'rejects a response with the header %j that is cut within its head',
  async (header) => {
    const head = `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n${header}\r\n\r\n`;
    let sent = '';
    server.removeAllListeners('request');
    server.on('request', ({ socket }) => socket.end(sent));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const call = (): Promise<unknown> =>
      callJson({
        host: '127.0.0.1',
        port: (server.address() as AddressInfo).port,
        method: 'GET',
        path: '/',
        body: undefined,
        timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      });
    for (let bytes = 0; bytes < head.length; bytes += 1) {
      sent = head.slice(0, bytes);
      await expect(call(), `after ${bytes} bytes`).rejects.toThrow();
    }
    sent = `${head}{"key":1}`;
    await expect(call()).resolves.toEqual({ status: 200, body: { key: 1 } });
  },
);
