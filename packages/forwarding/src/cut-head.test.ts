import { Agent, request } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

import { RequestKind } from '@lapisbridge/catalog';
import type { BackendServer, Route } from '@lapisbridge/catalog';
import { afterEach, describe, expect, it } from 'vitest';

import { respondWith, startFixture, streamEvents } from './forwarding-fixture.js';
import type { BackendHandler, Fixture } from './forwarding-fixture.js';

interface Reply {
  readonly status: number;
  readonly body: string;
  /** Whether the response was complete, as its caller sees it. */
  readonly isWhole: boolean;
}

interface Cut {
  /** What the server sends before it closes its connection. */
  readonly bytes: string;
  readonly close: (socket: Socket) => void;
  /** Between the last byte and the close. */
  readonly stallMilliseconds?: number;
}

const REQUEST_ID = 'request';
const NEXT_REQUEST_ID = 'next';
const HEAD = `HTTP/1.1 200 OK\r\nrequest-id: ${REQUEST_ID}\r\nsignature: signed\r\n`;
const FRAMINGS = {
  length: `${HEAD}content-length: 5\r\n\r\n`,
  chunks: `${HEAD}transfer-encoding: chunked\r\n\r\n`,
  neither: `${HEAD}connection: close\r\n\r\n`,
};
const EARLY_HINTS = 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n';
const CLOSES = {
  close: (socket: Socket): unknown => socket.end(),
  reset: (socket: Socket): unknown => socket.resetAndDestroy(),
};
const WHOLE_STREAM = 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n';

let fixture: Fixture | undefined;
let agent: Agent;

afterEach(async () => {
  agent.destroy();
  await fixture?.close();
  fixture = undefined;
});

/** Starts an entry, and a caller that sends all requests over one connection. */
async function start(
  servers: Parameters<typeof startFixture>[0]['servers'],
  route: Partial<Route> = {},
): Promise<Fixture> {
  agent = new Agent({ keepAlive: true, maxSockets: 1 });
  fixture = await startFixture({ servers, route, retrySlack: 1_000_000 });
  return fixture;
}

function send(requestId: string, body = 'body', readDelayMilliseconds = 0): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const headers = { 'request-id': requestId, 'content-length': body.length };
    const outgoing = request(
      { host: '127.0.0.1', port: fixture?.port, method: 'POST', path: '/path', headers, agent },
      (incoming) => {
        let text = '';
        incoming.on('error', () => undefined);
        incoming.on('close', () =>
          resolve({
            status: incoming.statusCode ?? 0,
            body: text,
            isWhole: incoming.complete,
          }),
        );
        setTimeout(() => {
          incoming.on('data', (chunk: Buffer) => {
            text += chunk.toString();
          });
        }, readDelayMilliseconds);
      },
    );
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}

function serverAt(port: number): BackendServer {
  return {
    instanceId: 'one',
    service: 'service',
    host: '127.0.0.1',
    port,
    availabilityZone: 'zone',
    slots: 4,
    draining: false,
    groupRank: undefined,
    startedAt: undefined,
  };
}

function respondWithRequestId(...[incoming, response]: Parameters<BackendHandler>): void {
  respondWith(String(incoming.headers['request-id']))(incoming, response);
}

/** A server that cuts its response to one request and answers all others. */
function cutting(cut: () => Cut, others: BackendHandler = respondWithRequestId): BackendHandler {
  return (incoming, response) => {
    if (incoming.headers['request-id'] !== REQUEST_ID) {
      others(incoming, response);
      return;
    }
    const { bytes, close, stallMilliseconds = 0 } = cut();
    incoming.socket.write(bytes, () => {
      setTimeout(() => close(incoming.socket), stallMilliseconds);
    });
  };
}

function listCuts(): { readonly name: string; readonly cut: Cut }[] {
  return Object.entries(FRAMINGS).flatMap(([framing, head]) =>
    Object.entries(CLOSES).flatMap(([how, close]) =>
      Array.from({ length: head.length }, (_, bytes) => ({
        name: `${framing}, ${how} after ${bytes} bytes`,
        cut: { bytes: head.slice(0, bytes), close },
      })),
    ),
  );
}

// Guards against a success with an empty or short body, complete by its framing.
describe('a server that closes its connection within the head of a response', () => {
  it.each(['', EARLY_HINTS])(
    'makes a request that may run at most once fail, and the next one on its connection is answered, after %j',
    async (prefix) => {
      let current: Cut | undefined;
      const server = cutting(() => {
        if (current === undefined) throw new Error('no cut was set');
        return { ...current, bytes: prefix + current.bytes };
      });
      await start({ one: server });
      for (const { name, cut } of listCuts().filter((_, index) => index % 3 === 2)) {
        current = cut;
        const [cutReply, nextReply] = await Promise.all([send(REQUEST_ID), send(NEXT_REQUEST_ID)]);
        expect(cutReply, name).toMatchObject({ status: 502, isWhole: true });
        expect(nextReply, name).toMatchObject({
          status: 200,
          body: NEXT_REQUEST_ID,
          isWhole: true,
        });
      }
    },
  );

  it('is noticed when the close follows after a stall', async () => {
    const cuts = listCuts().filter(({ cut }) => cut.bytes.length === HEAD.length - 4);
    for (const { name, cut } of cuts) {
      await start({ one: cutting(() => ({ ...cut, stallMilliseconds: 1200 })) });
      expect(await send(REQUEST_ID), name).toMatchObject({ status: 502 });
      agent.destroy();
      await fixture?.close();
    }
  });

  it('is noticed when it has not read a long body', async () => {
    const body = 'x'.repeat(8 * 1024 * 1024);
    let current: Cut | undefined;
    const { catalog } = await start({});
    const { configuration } = catalog.operatorState();
    if (configuration === undefined) throw new Error('the fixture has no configuration');
    const limits = { ...configuration.limits, maximumBodyBytes: body.length };
    catalog.replaceOperatorState({
      revision: 2,
      configuration: { ...configuration, version: 2, limits },
      drainedZones: new Set(),
    });
    const server = createTcpServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.pause();
        if (current === undefined) return;
        const { bytes, close } = current;
        socket.write(bytes, () => close(socket));
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    catalog.replaceServers({ revision: 2, servers: new Map([['one', serverAt(port)]]) });
    const cuts = listCuts().filter((_, index) => index % 20 === 19);
    for (const { name, cut } of cuts) {
      current = { ...cut, close: (socket) => socket.resetAndDestroy() };
      expect(await send(REQUEST_ID, body), name).toMatchObject({ status: 502 });
    }
    server.close();
  });

  it('leaves an idempotent request to another server', async () => {
    for (const { name, cut } of listCuts()) {
      await start(
        { one: cutting(() => cut), two: respondWith('found') },
        { kind: RequestKind.Idempotent },
      );
      expect(await send(REQUEST_ID), name).toMatchObject({
        status: 200,
        body: 'found',
        isWhole: true,
      });
      agent.destroy();
      await fixture?.close();
    }
  });

  it('leaves a late request to its duplicate, or fails it if both are cut', async () => {
    const hedged = { kind: RequestKind.Idempotent, latencyObjectiveMilliseconds: 40 };
    const cuts = listCuts().filter((_, index) => index % 40 === 39);
    for (const { name, cut } of cuts) {
      const late = cutting(() => ({ ...cut, stallMilliseconds: 150 }));
      for (const [other, expected] of [
        [respondWith('found'), { status: 200, body: 'found', isWhole: true }],
        [late, { status: 502 }],
      ] as const) {
        await start({ one: late, two: other }, hedged);
        expect(await send(REQUEST_ID), name).toMatchObject(expected);
        agent.destroy();
        await fixture?.close();
      }
    }
  });

  it('leaves a stream to another server, also one that is resumed for a caller that reads late', async () => {
    const streaming = { kind: RequestKind.Streaming, resumable: true, maximumAttempts: 3 };
    for (const { name, cut } of listCuts().filter((_, index) => index % 10 === 9)) {
      await start(
        { one: streamEvents(3, 1), three: streamEvents(3), two: cutting(() => cut) },
        streaming,
      );
      expect(await send(REQUEST_ID, 'body', 50), name).toMatchObject({
        status: 200,
        body: WHOLE_STREAM,
        isWhole: true,
      });
      agent.destroy();
      await fixture?.close();
    }
  });

  it('breaks a stream off visibly if no other server can resume it', async () => {
    const streaming = { kind: RequestKind.Streaming, resumable: true };
    for (const { name, cut } of listCuts().filter((_, index) => index % 10 === 9)) {
      await start({ one: streamEvents(3, 1), two: cutting(() => cut) }, streaming);
      expect(await send(REQUEST_ID), name).toMatchObject({
        body: 'id: 1\ndata: 1\n\n',
        isWhole: false,
      });
      agent.destroy();
      await fixture?.close();
    }
  });
});
