import { request } from 'node:http';
import type { Socket } from 'node:net';

import { RequestKind } from '@lapisbridge/catalog';
import { afterEach, describe, expect, it } from 'vitest';

import { respondWith, startFixture, streamEvents } from './forwarding-fixture.js';
import type { BackendHandler, Fixture } from './forwarding-fixture.js';

interface Reply {
  readonly status: number;
  readonly body: string;
  readonly milliseconds: number;
}

const HEAD = 'HTTP/1.1 200 OK\r\nrequest-id: request\r\nsignature: signed\r\n';
/** Well below the patience of a caller: the attempt has to end because of its bytes. */
const AT_ONCE_MILLISECONDS = 1000;

let fixture: Fixture | undefined;

afterEach(async () => {
  await fixture?.close();
  fixture = undefined;
});

function writeEndlessly(socket: Socket, head: string, line: string): void {
  const piece = line.repeat(Math.ceil(10_000 / line.length));
  function writeMore(): void {
    while (!socket.destroyed && socket.write(piece)) {
      // The socket takes more.
    }
  }
  socket.on('drain', () => setImmediate(writeMore));
  socket.write(head);
  writeMore();
}

function endless(head: string, line: string): BackendHandler {
  return (incoming) => writeEndlessly(incoming.socket, head, line);
}

function send(): Promise<Reply> {
  const startedAt = performance.now();
  return new Promise((resolve, reject) => {
    const outgoing = request(
      {
        host: '127.0.0.1',
        port: fixture?.port,
        method: 'POST',
        path: '/path',
        headers: { 'request-id': 'request' },
      },
      (incoming) => {
        let body = '';
        incoming.on('data', (chunk: Buffer) => {
          body += chunk.toString();
        });
        incoming.on('error', () => undefined);
        incoming.on('close', () => {
          const milliseconds = performance.now() - startedAt;
          resolve({ status: incoming.statusCode ?? 0, body, milliseconds });
        });
      },
    );
    outgoing.on('error', reject);
    outgoing.end('body');
  });
}

describe('a server that sends bytes without end', () => {
  it.each([
    ['in informational responses', '', 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'],
    ['in the head', HEAD, 'more: header\r\n'],
    ['in an event', `${HEAD}\r\nid: 1\n`, 'data: more\n'],
    ['in comments', `${HEAD}\r\n`, ': nothing\n\n'],
    ['in an error response', HEAD.replace('200 OK', '500 Error').concat('\r\n'), 'more\n'],
  ])('%s is left at once, and the stream is served elsewhere', async (where, head, line) => {
    // Guards against memory and processor time that grow with what a server sends.
    const route = { kind: RequestKind.Streaming, resumable: true };
    const servers = { one: endless(head, line), two: streamEvents(2) };
    fixture = await startFixture({ servers, route });
    const reply = await send();
    expect(reply, where).toMatchObject({
      status: 200,
      body: 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n',
    });
    expect(reply.milliseconds).toBeLessThan(AT_ONCE_MILLISECONDS);
  });

  it.each([
    ['in informational responses', '', 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'],
    ['in the head', HEAD, 'more: header\r\n'],
    ['in the body', `${HEAD}\r\n`, 'more of the body\n'],
  ])('%s is left at once, and an idempotent request is served elsewhere', async (_, head, line) => {
    const route = { kind: RequestKind.Idempotent };
    const servers = { one: endless(head, line), two: respondWith('found') };
    fixture = await startFixture({ servers, route });
    const reply = await send();
    expect(reply).toMatchObject({ status: 200, body: 'found' });
    expect(reply.milliseconds).toBeLessThan(AT_ONCE_MILLISECONDS);
  });

  it('makes a request that may run at most once fail, without a claim that it has not run', async () => {
    const servers = {
      one: endless(`${HEAD}\r\n`, 'more of the body\n'),
      two: respondWith('booked'),
    };
    fixture = await startFixture({ servers });
    const reply = await send();
    expect(reply.status).toBe(502);
    expect(fixture.arrivals.map(({ instanceId }) => instanceId)).toEqual(['one']);
  });

  it('counts as failing, so that later requests go elsewhere', async () => {
    // Guards against a server that counts as healthy once it has sent a head.
    const route = { kind: RequestKind.Idempotent };
    const servers = {
      one: endless(`${HEAD}\r\n`, 'more of the body\n'),
      two: respondWith('found'),
    };
    fixture = await startFixture({ servers, route });
    for (let sent = 0; sent < 5; sent += 1) await send();
    const atFailing = fixture.arrivals.filter(({ instanceId }) => instanceId === 'one');
    expect(atFailing.length).toBeLessThanOrEqual(2);
  });
});
