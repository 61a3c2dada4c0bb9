/**
 * Requests that last longer than the connection timeouts of a configuration that comes into force
 * before they are sent, or while they are in flight.
 */
import { Agent, request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';

import { RequestKind } from '@lapisbridge/catalog';
import { sleep } from '@lapisbridge/kernel';
import { afterEach, describe, expect, it } from 'vitest';

import { sendRequest } from './caller-fixture.js';
import { respondWith, startFixture } from './forwarding-fixture.js';
import type { BackendHandler, Fixture } from './forwarding-fixture.js';

/** Longer than the new timeouts, and than the interval in which they are checked. */
const PAUSE_MILLISECONDS = 1800;
const SHORT_TIMEOUT_MILLISECONDS = 50;
/** More than what the kernel takes for a caller that does not read. */
const LARGE_TEXT = 'a'.repeat(7 * 1024 * 1024);

let fixture: Fixture;
const agent = new Agent({ keepAlive: true, maxSockets: 1 });

afterEach(async () => {
  agent.destroy();
  await fixture.close();
});

enum When {
  Before = 'before they are sent',
  InFlight = 'while they are in flight',
}

async function shortenTimeouts(wanted: When, now: When): Promise<void> {
  if (wanted !== now) return;
  const { configuration } = fixture.catalog.operatorState();
  if (configuration === undefined) throw new Error('the fixture has no configuration');
  fixture.catalog.replaceOperatorState({
    revision: 2,
    configuration: {
      ...configuration,
      version: 2,
      limits: {
        ...configuration.limits,
        headerTimeoutMilliseconds: SHORT_TIMEOUT_MILLISECONDS,
        idleTimeoutMilliseconds: SHORT_TIMEOUT_MILLISECONDS,
      },
    },
    drainedZones: new Set(),
  });
  // The listener takes the limits over with the next request.
  await sendRequest(fixture.port, 'takes the limits over');
}

interface Sent {
  readonly outgoing: ClientRequest;
  readonly incoming: Promise<IncomingMessage>;
}

function begin(requestId: string): Sent {
  const outgoing = request({
    agent,
    host: '127.0.0.1',
    port: fixture.port,
    method: 'POST',
    headers: { 'request-id': requestId, patience: '20000' },
  });
  outgoing.flushHeaders();
  const incoming = new Promise<IncomingMessage>((resolve, reject) => {
    outgoing.on('response', resolve);
    outgoing.on('error', reject);
  });
  return { outgoing, incoming };
}

async function readText(incoming: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

/** Sends the head of a request over a connection that has been used before. */
async function sendHead(when: When, requestId: string): Promise<Sent> {
  const first = begin('first');
  first.outgoing.end();
  await readText(await first.incoming);
  await shortenTimeouts(when, When.Before);
  const sent = begin(requestId);
  expect(sent.outgoing.reusedSocket).toBe(true);
  return sent;
}

/** Answers the request `slow` late. */
const respondSlowly: BackendHandler = (incoming, response) => {
  const pause = incoming.headers['request-id'] === 'slow' ? PAUSE_MILLISECONDS : 0;
  setTimeout(() => respondWith('whole')(incoming, response), pause);
};

describe.each(Object.values(When))(
  'requests under shorter connection timeouts in force %s',
  (when) => {
    it('are answered although the server takes longer', async () => {
      // Guards against a timeout of idle connections that ends a request in flight.
      fixture = await startFixture({ servers: { one: respondSlowly } });
      const { outgoing, incoming } = await sendHead(when, 'slow');
      outgoing.end();
      await sleep(100);
      await shortenTimeouts(when, When.InFlight);
      expect(await readText(await incoming)).toBe('whole');
    });

    it('are read to their end although their body takes longer', async () => {
      // Guards against a timeout of heads that ends a request whose body is still received.
      fixture = await startFixture({ servers: { one: respondWith('whole') } });
      const { outgoing, incoming } = await sendHead(when, 'long body');
      outgoing.write('first half, ');
      await shortenTimeouts(when, When.InFlight);
      await sleep(PAUSE_MILLISECONDS);
      outgoing.end('second half');
      expect(await readText(await incoming)).toBe('whole');
      expect(fixture.arrivals.at(-1)?.body).toBe('first half, second half');
    });

    it('are streamed to their end although their events pause longer', async () => {
      // Guards against a timeout of idle connections that cuts off a stream.
      const streamWithPause: BackendHandler = (incoming, response) => {
        response.writeHead(200, {
          'request-id': String(incoming.headers['request-id']),
          signature: 'signed',
          'content-type': 'text/event-stream',
        });
        response.write('id: 1\ndata: 1\n\n');
        const pause = incoming.headers['request-id'] === 'slow' ? PAUSE_MILLISECONDS : 0;
        setTimeout(() => response.end('id: 2\ndata: 2\n\n'), pause);
      };
      fixture = await startFixture({
        servers: { one: streamWithPause },
        route: { kind: RequestKind.Streaming, timeoutMilliseconds: 10_000 },
      });
      const { outgoing, incoming } = await sendHead(when, 'slow');
      outgoing.end();
      const text = readText(await incoming);
      await shortenTimeouts(when, When.InFlight);
      expect(await text).toMatch(/data: 1\n\n[^]*data: 2\n\n$/);
    });

    it('are answered to the end although their callers read later', async () => {
      // Guards against a timeout of idle connections that truncates an answer that is still read.
      fixture = await startFixture({
        servers: { one: respondWith(LARGE_TEXT) },
        route: { timeoutMilliseconds: 10_000 },
      });
      const { outgoing, incoming } = await sendHead(when, 'large');
      outgoing.end();
      const response = await incoming;
      await shortenTimeouts(when, When.InFlight);
      await sleep(PAUSE_MILLISECONDS);
      expect(await readText(response)).toHaveLength(LARGE_TEXT.length);
    });
  },
);
