import { createServer, request } from 'node:http';
import type { ClientRequest, IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import { createInFlightRequests, ShutdownArrival } from './in-flight-requests.js';
import type { InFlightRequest, InFlightRequests } from './in-flight-requests.js';

interface Received {
  readonly tracked: InFlightRequest;
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
}

let server: Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

/** Starts a listener; `receive` sends a request and resolves once its head has been read. */
async function startListener(inFlight: InFlightRequests): Promise<{
  receive(): Promise<{ readonly received: Received; readonly outgoing: ClientRequest }>;
}> {
  let onReceived: (received: Received) => void = () => undefined;
  const started = createServer((incoming, response) => {
    incoming.resume();
    onReceived({ tracked: inFlight.track(incoming, response), incoming, response });
  });
  server = started;
  await new Promise<void>((resolve) => {
    started.listen(0, '127.0.0.1', resolve);
  });
  const { port } = started.address() as AddressInfo;
  return {
    async receive() {
      const next = new Promise<Received>((resolve) => {
        onReceived = resolve;
      });
      const outgoing = request({ host: '127.0.0.1', port, method: 'POST' });
      outgoing.on('error', () => undefined);
      outgoing.on('response', (incoming) => incoming.resume());
      outgoing.write('first');
      return { received: await next, outgoing };
    },
  };
}

function closed(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    response.once('close', resolve);
  });
}

function countsOf(inFlight: InFlightRequests, arrival: ShutdownArrival): unknown {
  return inFlight.shutdownCounts().find((counts) => counts.arrival === arrival);
}

describe('requests in flight', () => {
  it('are counted by their stage', async () => {
    const inFlight = createInFlightRequests(() => 0);
    const listener = await startListener(inFlight);
    const { received, outgoing } = await listener.receive();
    expect(inFlight.countsByStage()).toEqual({ receiving: 1 });
    outgoing.end('last');
    await new Promise((resolve) => {
      received.incoming.once('end', resolve);
    });
    expect(inFlight.countsByStage()).toEqual({ pending: 1 });
    received.tracked.recordForwarded();
    expect(inFlight.countsByStage()).toEqual({ forwarded: 1 });
    received.response.flushHeaders();
    expect(inFlight.countsByStage()).toEqual({ responding: 1 });
    received.response.end();
    expect(inFlight.countsByStage()).toEqual({ flushing: 1 });
    await closed(received.response);
    expect(inFlight.count()).toBe(0);
  });

  it('are listed with their ids and ages until they are finished', async () => {
    let time = 0;
    const inFlight = createInFlightRequests(() => time);
    const listener = await startListener(inFlight);
    const { received } = await listener.receive();
    received.tracked.identify('one', 'route');
    time = 250;
    expect(inFlight.listUnfinished()).toEqual([
      { requestId: 'one', route: 'route', stage: 'receiving', ageMilliseconds: 250 },
    ]);
    received.response.end();
    await closed(received.response);
    expect(inFlight.listUnfinished()).toEqual([]);
  });

  it('are counted during a shutdown by when they came and how they ended', async () => {
    const inFlight = createInFlightRequests(() => 0);
    const listener = await startListener(inFlight);
    const ended = await listener.receive();
    ended.received.response.end();
    await closed(ended.received.response);
    const early = await listener.receive();
    inFlight.beginShutdown();
    const refused = await listener.receive();
    const failedAtServer = await listener.receive();
    const cut = await listener.receive();
    early.received.response.end('whole');
    refused.received.response.writeHead(503).end();
    failedAtServer.received.tracked.recordForwarded();
    failedAtServer.received.response.writeHead(503).end();
    cut.received.response.destroy();
    const all = [early, refused, failedAtServer, cut];
    await Promise.all(all.map(({ received }) => closed(received.response)));
    expect(countsOf(inFlight, ShutdownArrival.InFlight)).toMatchObject({
      complete: 1,
      refused: 0,
      incomplete: 0,
    });
    expect(countsOf(inFlight, ShutdownArrival.Later)).toMatchObject({
      complete: 1,
      refused: 1,
      incomplete: 1,
    });
  });
});
