import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import { ExchangeEndKind, openExchange } from './exchange.js';
import type { ExchangeEnd } from './exchange.js';

const HOST = '127.0.0.1';
const START = 'HTTP/1.1 200 OK\r\n';
/** Below and above what Node.js reads ahead of a paused response. */
const BODY_BYTES = [10, 15_000, 40_000, 300_000];

enum Framing {
  Length = 'a length',
  Chunks = 'chunks',
  ConnectionEnd = 'the end of its connection',
}

interface Received {
  readonly end: ExchangeEnd;
  readonly bytes: number;
}

interface ServerEnd {
  /** Ends the connection once the response was written. */
  close(socket: Socket): void;
  /** After which time the server refuses connections; it goes on accepting them if undefined. */
  readonly listenerCloseDelayMilliseconds?: number;
}

let server: Server;

afterEach(() => {
  server.close();
});

function encode(framing: Framing, bytes: number): string {
  const body = 'x'.repeat(bytes);
  switch (framing) {
    case Framing.Length:
      return `${START}content-length: ${bytes}\r\n\r\n${body}`;
    case Framing.Chunks:
      return `${START}transfer-encoding: chunked\r\n\r\n${bytes.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
    case Framing.ConnectionEnd:
      return `${START}connection: close\r\n\r\n${body}`;
    default: {
      const unreachable: never = framing;
      return unreachable;
    }
  }
}

/** Receives one response; pauses at its head for some time, as for a caller that reads late. */
async function receive(
  response: string,
  pauseMilliseconds: number,
  { close, listenerCloseDelayMilliseconds }: ServerEnd,
): Promise<Received> {
  server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () =>
      socket.write(response, () => {
        if (listenerCloseDelayMilliseconds === 0) server.close();
        else if (listenerCloseDelayMilliseconds !== undefined)
          setTimeout(() => server.close(), listenerCloseDelayMilliseconds);
        close(socket);
      }),
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  let bytes = 0;
  const end = await new Promise<ExchangeEnd>((resolve) => {
    const exchange = openExchange(
      {
        host: HOST,
        port: (server.address() as AddressInfo).port,
        method: 'POST',
        target: '/',
        headers: ['Host', HOST, 'Content-Length', '0'],
        body: Buffer.alloc(0),
        connectTimeoutMilliseconds: 1000,
        isServerLeaving: () => false,
      },
      {
        onHead() {
          if (pauseMilliseconds === 0) return;
          exchange.pause();
          setTimeout(() => exchange.resume(), pauseMilliseconds);
        },
        onData(chunk) {
          bytes += chunk.length;
        },
        onEnd: resolve,
      },
    );
  });
  server.close();
  return { end, bytes };
}

describe.each(Object.values(Framing))('a response that is delimited by %s', (framing) => {
  // Guards against losing what waits in a paused response when its connection ends.
  it.each([0, 200])('is received whole after a pause of %i ms', async (pauseMilliseconds) => {
    for (const bytes of BODY_BYTES) {
      const received = await receive(encode(framing, bytes), pauseMilliseconds, {
        close: (socket) => socket.end(),
      });
      expect(received, `${bytes} bytes`).toMatchObject({
        end: { kind: ExchangeEndKind.Complete },
        bytes,
      });
    }
  });

  it.each([0, 200])('is not complete if it is cut, after a pause of %i ms', async (pause) => {
    for (const bytes of BODY_BYTES) {
      const whole = encode(framing, bytes);
      const received = await receive(whole.slice(0, -7), pause, {
        close: (socket) => socket.resetAndDestroy(),
      });
      expect(received.end.kind, `${bytes} bytes`).toBe(ExchangeEndKind.Incomplete);
    }
  });
});

describe('a response that is delimited by the end of its connection', () => {
  // Guards against taking half a response of a server that was killed for a whole one.
  it.each([0, 200])(
    'is not complete if its server has ended, after a pause of %i ms',
    async (pause) => {
      for (const bytes of BODY_BYTES) {
        const received = await receive(encode(Framing.ConnectionEnd, bytes), pause, {
          close: (socket) => socket.end(),
          listenerCloseDelayMilliseconds: 0,
        });
        expect(received.end.kind, `${bytes} bytes`).toBe(ExchangeEndKind.Incomplete);
      }
    },
  );

  it('is not complete if its server closes its listener only after its connections', async () => {
    const received = await receive(encode(Framing.ConnectionEnd, 10), 0, {
      close: (socket) => socket.end(),
      listenerCloseDelayMilliseconds: 5,
    });
    expect(received.end.kind).toBe(ExchangeEndKind.Incomplete);
  });
});
