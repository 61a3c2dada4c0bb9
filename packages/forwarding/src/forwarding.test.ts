import { request } from 'node:http';

import { RequestKind } from '@lapisbridge/catalog';
import { afterEach, describe, expect, it } from 'vitest';

import {
  answerWith,
  loseAnswer,
  refuseAll,
  startFixture,
  streamEvents,
} from './forwarding-fixture.js';
import type { Fixture, FixtureOptions, Script } from './forwarding-fixture.js';

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

describe('a request that may run once at most', () => {
  it('is passed on with its body and comes back unchanged', async () => {
    const { arrivals } = await start({ servers: { one: answerWith('booked') } });
    const reply = await send();
    expect(reply).toMatchObject({ status: 200, body: 'booked', isWhole: true });
    expect(arrivals).toMatchObject([{ instanceId: 'one', body: 'body' }]);
  });

  it('is never sent again when its answer is lost', async () => {
    // A server runs a booking and its connection closes before the answer is out. Sent again, the
    // customer would be booked twice; told "not run", the customer would book elsewhere.
    const { arrivals } = await start({ servers: { one: loseAnswer, two: answerWith('booked') } });
    const reply = await send();
    expect(reply.status).toBe(502);
    expect(reply.headers['retry-after']).toBeUndefined();
    expect(arrivals).toHaveLength(1);
  });

  it('goes to another server when the first cannot be reached', async () => {
    // A server is gone and its address refuses connections: no byte has left, so nothing ran.
    const { arrivals } = await start({ servers: { one: undefined, two: answerWith('booked') } });
    expect(await send()).toMatchObject({ status: 200, body: 'booked' });
    expect(arrivals).toHaveLength(1);
  });

  it('is refused with a time to come back when no server ran it', async () => {
    // Every server is full and says so: the caller hears at once that nothing ran.
    await start({ servers: { one: refuseAll, two: refuseAll } });
    const reply = await send();
    expect(reply.status).toBe(503);
    expect(Number(reply.headers['retry-after'])).toBeGreaterThan(0);
  });

  it('is not refused as "not run" when one of its attempts may have run', async () => {
    // The first server refuses, the second takes the request and its answer is lost.
    await start({ servers: { one: refuseAll, two: loseAnswer } });
    expect((await send()).status).toBe(502);
  });
});

describe('an answer', () => {
  const brokenOff: Script = (incoming, response) => {
    response.writeHead(200, {
      'request-id': String(incoming.headers['request-id']),
      signature: 'signed',
      'content-length': 100,
    });
    response.write('half', () => incoming.socket.destroy());
  };

  it('that breaks off is fetched again where that does no harm', async () => {
    const { arrivals } = await start({
      servers: { one: brokenOff, two: answerWith('whole') },
      route: IDEMPOTENT,
    });
    expect(await send()).toMatchObject({ status: 200, body: 'whole' });
    expect(arrivals).toHaveLength(2);
  });

  it('without a length that is reset is not taken for the whole', async () => {
    // A server sends no length and ends its answer with the connection, which is reset on the
    // way. A caller that got this as a success would act on half an answer.
    const reset: Script = (incoming) => {
      incoming.socket.write(
        'HTTP/1.1 200 OK\r\nRequest-Id: request\r\nSignature: signed\r\nConnection: close\r\n\r\nhalf',
        () => incoming.socket.resetAndDestroy(),
      );
    };
    await start({ servers: { one: reset } });
    expect((await send()).status).toBe(502);
  });

  it('without a length that ends by a close is the whole', async () => {
    const closing: Script = (incoming) => {
      incoming.socket.end(
        'HTTP/1.1 200 OK\r\nRequest-Id: request\r\nSignature: signed\r\nConnection: close\r\n\r\nwhole',
      );
    };
    await start({ servers: { one: closing } });
    expect(await send()).toMatchObject({ status: 200, body: 'whole' });
  });

  it('to another request is never passed on', async () => {
    // A server answers an earlier request where the answer to this one is due.
    const foreign: Script = (_incoming, response) => {
      response.writeHead(200, { 'request-id': 'other', signature: 'signed', 'content-length': 3 });
      response.end('his');
    };
    await start({ servers: { one: foreign } });
    const reply = await send();
    expect(reply).toMatchObject({ status: 502, body: '' });
  });

  it('of success without a signature is not passed on', async () => {
    const unsigned: Script = (incoming, response) => {
      response.writeHead(200, { 'request-id': String(incoming.headers['request-id']) });
      response.end('bytes');
    };
    await start({ servers: { one: unsigned } });
    expect((await send()).status).toBe(502);
  });

  it('comes at the route’s timeout even if no server answers', async () => {
    const silent: Script = () => undefined;
    await start({ servers: { one: silent }, route: { timeoutMilliseconds: 120 } });
    expect((await send()).status).toBe(504);
  });

  it('comes from another server after one has not answered at all', async () => {
    // Guards against taking a request that was given up unanswered for a sign of soundness.
    const hanging: Script = () => undefined;
    await start({
      servers: { one: hanging, two: answerWith('text') },
      route: { timeoutMilliseconds: 200, latencyObjectiveMilliseconds: 100 },
    });
    expect((await send()).status).toBe(504);
    expect((await send()).status).toBe(200);
  });
});

describe('a stream', () => {
  it('goes on at another server behind the last whole event', async () => {
    // A server dies in the middle of an event. The caller must see each event once and in order,
    // and nothing of the part that was cut.
    const { arrivals } = await start({
      servers: { one: streamEvents(6, 3), two: streamEvents(6) },
      route: STREAM,
    });
    const reply = await send();
    const expected = [1, 2, 3, 4, 5, 6].map((id) => `id: ${id}\ndata: ${id}\n\n`).join('');
    expect(reply).toMatchObject({ status: 200, body: expected, isWhole: true });
    expect(arrivals[1]?.headers['last-event']).toBe('3');
  });

  it('that may not be continued is broken off visibly', async () => {
    await start({
      servers: { one: streamEvents(6, 3), two: streamEvents(6) },
      route: { ...STREAM, resumable: false },
    });
    const reply = await send();
    expect(reply.isWhole).toBe(false);
    expect(reply.body).not.toContain('ha');
  });

  it('with a gap is broken off rather than passed on', async () => {
    const gap: Script = (incoming, response) => {
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

  it('is not repeated beyond the retry budget', async () => {
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
  it('that leaves ends the work at the server', async () => {
    // An inspector closes the app; a server that goes on would keep a slot from somebody else.
    let closed: () => void = () => undefined;
    const isClosed = new Promise<void>((resolve) => {
      closed = resolve;
    });
    let arrived: () => void = () => undefined;
    const hasArrived = new Promise<void>((resolve) => {
      arrived = resolve;
    });
    const watching: Script = (incoming) => {
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

  it('is told to come back while no configuration is known', async () => {
    // An instance that has just started must not say that a route does not exist.
    await start({ servers: { one: answerWith('text') }, withConfiguration: false });
    const reply = await send();
    expect(reply.status).toBe(503);
    expect(reply.headers['retry-after']).toBeDefined();
  });

  it('with a body over the limit is turned away', async () => {
    await start({ servers: { one: answerWith('text') } });
    expect((await send({}, 'x'.repeat(1001))).status).toBe(413);
  });

  it('without a request id is turned away before anything is sent on', async () => {
    const { arrivals, port } = await start({ servers: { one: answerWith('text') } });
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
