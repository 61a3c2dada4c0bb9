import { createServer as createSecureServer } from 'node:https';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import { generate } from 'selfsigned';
import { afterEach, describe, expect, it } from 'vitest';

import { createServiceClient, ServiceOutcomeKind } from './service-client.js';
import type { ServiceOutcome } from './service-client.js';

const START = 'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n';
const FRAMINGS = {
  length: `${START}content-length: 6\r\n\r\n`,
  chunks: `${START}transfer-encoding: chunked\r\n\r\n`,
  neither: `${START}connection: close\r\n\r\n`,
};
const CLOSES = {
  close: (socket: Socket): unknown => socket.end(),
  reset: (socket: Socket): unknown => socket.resetAndDestroy(),
};

const HOST = '127.0.0.1';
const CALL = {
  method: 'POST',
  path: '/book',
  contentType: 'text/plain',
  account: 'account',
  idempotencyKey: 'key',
  body: Buffer.from('body'),
  timeoutMilliseconds: 2000,
};

let server: Server;

afterEach(() => {
  server.close();
});

async function listen(listening: Server): Promise<number> {
  await new Promise<void>((resolve) => {
    listening.listen(0, HOST, resolve);
  });
  return (listening.address() as AddressInfo).port;
}

/** Calls a service that sends these bytes and then closes its connection. */
async function call(
  bytes: string,
  close: (socket: Socket) => unknown,
  closeDelayMilliseconds = 0,
): Promise<ServiceOutcome> {
  server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () =>
      socket.write(bytes, () => setTimeout(() => close(socket), closeDelayMilliseconds)),
    );
  });
  const port = await listen(server);
  const client = createServiceClient(`http://${HOST}:${port}`, () => 1000);
  const outcome = await client.call(CALL);
  client.close();
  server.close();
  return outcome;
}

describe('a service whose connection ends before its answer is complete', () => {
  // Guards against a success with an empty or short body, complete by its framing.
  it.each(Object.entries(CLOSES))('is not taken to have answered (head, %s)', async (_, close) => {
    for (const [framing, head] of Object.entries(FRAMINGS)) {
      for (let bytes = 0; bytes < head.length; bytes += 1) {
        const outcome = await call(head.slice(0, bytes), close);
        expect(outcome.kind, `${framing}, after ${bytes} bytes`).toBe(ServiceOutcomeKind.Lost);
      }
    }
  });

  // Guards against taking a reset for the end of an answer that has no length.
  it.each([0, 20])('is not taken to have answered (body, reset after %i ms)', async (delay) => {
    for (const [framing, body] of [
      ['length', 'boo'],
      ['chunks', '6\r\nboo'],
      ['neither', ''],
      ['neither', 'boo'],
    ] as const) {
      const outcome = await call(FRAMINGS[framing] + body, CLOSES.reset, delay);
      expect(outcome.kind, `${framing}, ${body}`).toBe(ServiceOutcomeKind.Lost);
    }
  });
});

describe('a service whose answer ends with its connection', () => {
  it('has answered', async () => {
    const outcome = await call(`${FRAMINGS.neither}booked`, CLOSES.close);
    expect(outcome).toMatchObject({
      kind: ServiceOutcomeKind.Answered,
      status: 200,
      contentType: 'text/plain',
      body: Buffer.from('booked'),
    });
  });
});

describe('a service behind TLS', () => {
  const trustSetting = process.env.NODE_TLS_REJECT_UNAUTHORIZED;

  afterEach(() => {
    if (trustSetting === undefined) delete process.env.NODE_TLS_REJECT_UNAUTHORIZED;
    else process.env.NODE_TLS_REJECT_UNAUTHORIZED = trustSetting;
  });

  it('is called if its certificate is trusted, and not otherwise', async () => {
    const { cert, private: key } = generate([{ name: 'commonName', value: HOST }], {
      keySize: 2048,
    });
    const secureServer = createSecureServer({ cert, key }, (incoming, response) => {
      incoming.resume();
      response.end(incoming.headers['idempotency-key']);
    });
    server = secureServer;
    const port = await listen(secureServer);
    const client = createServiceClient(`https://${HOST}:${port}`, () => 1000);
    expect(await client.call(CALL)).toMatchObject({ kind: ServiceOutcomeKind.NotSent });
    process.env.NODE_TLS_REJECT_UNAUTHORIZED = '0';
    expect(await client.call(CALL)).toMatchObject({
      kind: ServiceOutcomeKind.Answered,
      body: Buffer.from(CALL.idempotencyKey),
    });
    client.close();
  });
});
