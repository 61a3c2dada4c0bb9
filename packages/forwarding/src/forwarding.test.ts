import { request } from 'node:http';

import { RequestKind } from '@lapisbridge/catalog';
import { afterEach, describe, expect, it } from 'vitest';

import {
  respondWith,
  dropConnection,
  refuseRequest,
  startFixture,
  streamEvents,
} from './forwarding-fixture.js';
import type { BackendHandler, Fixture, FixtureOptions } from './forwarding-fixture.js';

interface Reply {
  readonly status: number;
  readonly body: string;
  readonly isWhole: boolean;
  readonly headers: Readonly<Record<string, unknown>>;
}

let fixture: Fixture | undefined;

async function start(options: FixtureOptions): Promise<Fixture> {
  fixture = await startFixture(options);
  return fixture;
}

function send(headers: Record<string, string> = {}, body = 'body'): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const outgoing = request(
      {
        host: '127.0.0.1',
        port: fixture?.port,
        method: 'POST',
        path: '/path',
        headers: { 'request-id': 'request', ...headers },
      },
      (incoming) => {
        let text = '';
        incoming.on('data', (chunk: Buffer) => {
          text += chunk.toString();
        });
        incoming.on('error', () => undefined);
        incoming.on('close', () =>
          resolve({
            status: incoming.statusCode ?? 0,
            body: text,
            isWhole: incoming.complete,
            headers: incoming.headers,
          }),
        );
      },
    );
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}

afterEach(async () => {
  await fixture?.close();
  fixture = undefined;
});

const IDEMPOTENT = { kind: RequestKind.Idempotent };
const STREAM = { kind: RequestKind.Streaming, resumable: true };

describe('a request that may run at most once', () => {
  it('is forwarded with its body, and its response is returned unchanged', async () => {
    const { arrivals } = await start({ servers: { one: respondWith('booked') } });
    const reply = await send();
    expect(reply).toMatchObject({ status: 200, body: 'booked', isWhole: true });
    expect(arrivals).toMatchObject([{ instanceId: 'one', body: 'body' }]);
  });

  it('is never sent again when its response is lost', async () => {
    // A server runs a booking, and its connection closes before the response is sent. If the
    // request were sent again, the customer would be booked twice; if it were refused as "not
    // run", the customer would book elsewhere.
    const { arrivals } = await start({
      servers: { one: dropConnection, two: respondWith('booked') },
    });
    const reply = await send();
    expect(reply.status).toBe(502);
    expect(reply.headers['retry-after']).toBeUndefined();
    expect(arrivals).toHaveLength(1);
  });

  it('is sent to another server when the first is unreachable', async () => {
    // A server is gone and its address refuses connections: no byte was sent, so nothing ran.
    const { arrivals } = await start({ servers: { one: undefined, two: respondWith('booked') } });
    expect(await send()).toMatchObject({ status: 200, body: 'booked' });
    expect(arrivals).toHaveLength(1);
  });

  it('needs no retry budget to be sent to another server when the first is unreachable', async () => {
    const { arrivals } = await start({
      servers: { one: undefined, two: respondWith('booked') },
      retrySlack: 0,
    });
    expect(await send()).toMatchObject({ status: 200, body: 'booked' });
    expect(arrivals).toHaveLength(1);
  });

  it('is refused with a retry-after time when no server ran it', async () => {
    // Every server is full and says so: the caller learns at once that nothing ran.
    await start({ servers: { one: refuseRequest, two: refuseRequest } });
    const reply = await send();
    expect(reply.status).toBe(503);
    expect(Number(reply.headers['retry-after'])).toBeGreaterThan(0);
  });

  it('is not refused as "not run" when one of its attempts may have run', async () => {
    // The first server refuses; the second accepts the request, and its response is lost.
    await start({ servers: { one: refuseRequest, two: dropConnection } });
    expect((await send()).status).toBe(502);
  });
});

describe('a response', () => {
  const truncated: BackendHandler = (incoming, response) => {
    response.writeHead(200, {
      'request-id': String(incoming.headers['request-id']),
      signature: 'signed',
      'content-length': 100,
    });
    response.write('half', () => incoming.socket.destroy());
  };

  it('that is truncated is retried when the request is idempotent', async () => {
    const { arrivals } = await start({
      servers: { one: truncated, two: respondWith('whole') },
      route: IDEMPOTENT,
    });
    expect(await send()).toMatchObject({ status: 200, body: 'whole' });
    expect(arrivals).toHaveLength(2);
  });

  it('without a length is not complete when the connection is reset', async () => {
    // A server sends no length and ends its response with the connection, which is reset on the
    // way. A caller that received it as a success would act on half a response.
    const reset: BackendHandler = (incoming) => {
      incoming.socket.write(
        'HTTP/1.1 200 OK\r\nRequest-Id: request\r\nSignature: signed\r\nConnection: close\r\n\r\nhalf',
        () => incoming.socket.resetAndDestroy(),
      );
    };
    await start({ servers: { one: reset } });
    expect((await send()).status).toBe(502);
  });

  it('without a length is complete when the connection is closed', async () => {
    const closing: BackendHandler = (incoming) => {
      incoming.socket.end(
        'HTTP/1.1 200 OK\r\nRequest-Id: request\r\nSignature: signed\r\nConnection: close\r\n\r\nwhole',
      );
    };
    await start({ servers: { one: closing } });
    expect(await send()).toMatchObject({ status: 200, body: 'whole' });
  });

  /** Sends a head without a length and a part of the body, then ends the server's process. */
  function endAfter(part: string, headers = ''): BackendHandler {
    return (incoming) => {
      incoming.socket.write(
        `HTTP/1.1 200 OK\r\nRequest-Id: request\r\nSignature: signed\r\n${headers}Connection: close\r\n\r\n${part}`,
        () => fixture?.end('one'),
      );
    };
  }

  it('without a length is not complete when its server ends', async () => {
    // Guards against half a response that looks complete because a killed process closes it.
    await start({ servers: { one: endAfter('half') } });
    expect((await send()).status).toBe(502);
  });

  it('without a length is complete when a server that leaves ends after it', async () => {
    await start({ servers: { one: endAfter('whole', 'Leaving: 1\r\n') } });
    expect(await send()).toMatchObject({ status: 200, body: 'whole' });
  });

  it.each([
    ['after an event', 'id: 1\ndata: 1\n\n'],
    ['within an event', 'id: 1\ndata: 1\n\nid: 2\nda'],
  ])('that streams without a length is resumed when its server ends %s', async (_what, part) => {
    await start({
      servers: { one: endAfter(part), two: streamEvents(3) },
      route: { kind: RequestKind.Streaming, resumable: true },
    });
    const { body, isWhole } = await send();
    expect(body).toBe('id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n');
    expect(isWhole).toBe(true);
  });

  it('that streams without a length is broken off when it ends within an event', async () => {
    const closing: BackendHandler = (incoming) => {
      incoming.socket.end(
        'HTTP/1.1 200 OK\r\nRequest-Id: request\r\nSignature: signed\r\nConnection: close\r\n\r\nid: 1\ndata: 1\n\nid: 2\nda',
      );
    };
    await start({ servers: { one: closing }, route: { kind: RequestKind.Streaming } });
    expect(await send()).toMatchObject({ body: 'id: 1\ndata: 1\n\n', isWhole: false });
  });

  it('that streams without a length is complete when it ends after an event', async () => {
    const closing: BackendHandler = (incoming) => {
      incoming.socket.end(
        'HTTP/1.1 200 OK\r\nRequest-Id: request\r\nSignature: signed\r\nConnection: close\r\n\r\nid: 1\ndata: 1\n\n',
      );
    };
    await start({ servers: { one: closing }, route: { kind: RequestKind.Streaming } });
    expect(await send()).toMatchObject({ body: 'id: 1\ndata: 1\n\n', isWhole: true });
  });

  it('to another request is never forwarded', async () => {
    // A server sends the response to an earlier request in place of the response to this one.
    const wrongRequest: BackendHandler = (_incoming, response) => {
      response.writeHead(200, { 'request-id': 'other', signature: 'signed', 'content-length': 3 });
      response.end('his');
    };
    await start({ servers: { one: wrongRequest } });
    const reply = await send();
    expect(reply).toMatchObject({ status: 502, body: '' });
  });

  it('with a success status and no signature is not forwarded', async () => {
    const unsigned: BackendHandler = (incoming, response) => {
      response.writeHead(200, { 'request-id': String(incoming.headers['request-id']) });
      response.end('bytes');
    };
    await start({ servers: { one: unsigned } });
    expect((await send()).status).toBe(502);
  });

  it('is sent at the route’s timeout even if no server responds', async () => {
    const silent: BackendHandler = () => undefined;
    await start({ servers: { one: silent }, route: { timeoutMilliseconds: 120 } });
    expect((await send()).status).toBe(504);
  });

  it('comes from another server after one has not responded at all', async () => {
    // Guards against counting an abandoned request without a response as a sign of a healthy
    // server.
    const hanging: BackendHandler = () => undefined;
    await start({
      servers: { one: hanging, two: respondWith('text') },
      route: { timeoutMilliseconds: 200, latencyObjectiveMilliseconds: 100 },
    });
    expect((await send()).status).toBe(504);
    expect((await send()).status).toBe(200);
  });
});

describe('a stream', () => {
  it('continues at another server after the last complete event', async () => {
    // A server dies in the middle of an event. The caller must receive each event once and in
    // order, and nothing of the truncated one.
    const { arrivals } = await start({
      servers: { one: streamEvents(6, 3), two: streamEvents(6) },
      route: STREAM,
    });
    const reply = await send();
    const expected = [1, 2, 3, 4, 5, 6].map((id) => `id: ${id}\ndata: ${id}\n\n`).join('');
    expect(reply).toMatchObject({ status: 200, body: expected, isWhole: true });
    expect(arrivals[1]?.headers['last-event']).toBe('3');
  });

  it('that is not resumable is visibly aborted', async () => {
    await start({
      servers: { one: streamEvents(6, 3), two: streamEvents(6) },
      route: { ...STREAM, resumable: false },
    });
    const reply = await send();
    expect(reply.isWhole).toBe(false);
    expect(reply.body).not.toContain('ha');
  });

  it('with a gap is aborted rather than forwarded', async () => {
    const gap: BackendHandler = (incoming, response) => {
      response.writeHead(200, {
        'request-id': String(incoming.headers['request-id']),
        signature: 'signed',
        'content-type': 'text/event-stream',
      });
      response.end('id: 1\ndata: 1\n\nid: 3\ndata: 3\n\n');
    };
    await start({ servers: { one: gap }, route: { ...STREAM, resumable: false } });
    const reply = await send();
    expect(reply).toMatchObject({ body: 'id: 1\ndata: 1\n\n', isWhole: false });
  });

  it('is not retried beyond the retry budget', async () => {
    const { arrivals } = await start({
      servers: { one: streamEvents(6, 3), two: streamEvents(6) },
      route: STREAM,
      retrySlack: 0,
    });
    expect((await send()).isWhole).toBe(false);
    expect(arrivals).toHaveLength(1);
  });
});

describe('a caller', () => {
  it('that disconnects ends the work at the server', async () => {
    // An inspector closes the app. A server that went on would occupy a slot that another request
    // needs.
    let closed: () => void = () => undefined;
    const isClosed = new Promise<void>((resolve) => {
      closed = resolve;
    });
    let arrived: () => void = () => undefined;
    const hasArrived = new Promise<void>((resolve) => {
      arrived = resolve;
    });
    const watching: BackendHandler = (incoming) => {
      incoming.socket.on('close', closed);
      arrived();
    };
    const { port } = await start({ servers: { one: watching } });
    const outgoing = request({
      host: '127.0.0.1',
      port,
      method: 'POST',
      headers: { 'request-id': 'request' },
    });
    outgoing.on('error', () => undefined);
    outgoing.end();
    await hasArrived;
    outgoing.destroy();
    await isClosed;
  });

  it('is refused with a retry-after time while no configuration is loaded', async () => {
    // An instance that has just started must not claim that a route does not exist.
    await start({ servers: { one: respondWith('text') }, withConfiguration: false });
    const reply = await send();
    expect(reply.status).toBe(503);
    expect(reply.headers['retry-after']).toBeDefined();
  });

  it('with a body over the limit is rejected', async () => {
    await start({ servers: { one: respondWith('text') } });
    expect((await send({}, 'x'.repeat(1001))).status).toBe(413);
  });

  it('without a request id is rejected before anything is forwarded', async () => {
    const { arrivals, port } = await start({ servers: { one: respondWith('text') } });
    const status = await new Promise((resolve) => {
      request({ host: '127.0.0.1', port, method: 'POST' }, (incoming) => {
        incoming.resume();
        resolve(incoming.statusCode);
      }).end();
    });
    expect(status).toBe(400);
    expect(arrivals).toHaveLength(0);
  });
});
