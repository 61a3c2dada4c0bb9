import { RequestKind } from '@lapisbridge/catalog';
import { afterEach, describe, expect, it } from 'vitest';

import { sendRequest } from './caller-fixture.js';
import { respondWith, startFixture, streamEvents } from './forwarding-fixture.js';
import type { BackendHandler, Fixture } from './forwarding-fixture.js';

const REQUEST_ID = 'request';
const REFUSALS = [
  ['full', { status: 503, headers: { 'not-run': '1' } }],
  ['addressed to another server', { status: 421, headers: {} }],
] as const;

interface Refusal {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
}

let fixture: Fixture | undefined;

afterEach(async () => {
  await fixture?.close();
});

/** Refuses a request, in a response that names the given request or none. */
function refuse({ status, headers }: Refusal, requestId: string | undefined): BackendHandler {
  return (_incoming, response) => {
    response.writeHead(status, {
      ...(requestId === undefined ? {} : { 'request-id': requestId }),
      ...headers,
      'content-length': 0,
    });
    response.end();
  };
}

describe.each(REFUSALS)('a refusal as %s', (_, refusal) => {
  // Guards against running a booking twice because an extra response belongs to another request.
  it('proves nothing about a request that it does not name', async () => {
    const servers = { one: refuse(refusal, 'other'), two: respondWith('booked') };
    fixture = await startFixture({ servers });
    expect((await sendRequest(fixture.port, REQUEST_ID)).status).toBe(502);
    expect(fixture.arrivals.map(({ instanceId }) => instanceId)).toEqual(['one']);
  });

  it('proves nothing about a stream that it does not name', async () => {
    const servers = { one: refuse(refusal, 'other'), two: streamEvents(2) };
    fixture = await startFixture({ servers, route: { kind: RequestKind.Streaming } });
    expect((await sendRequest(fixture.port, REQUEST_ID)).status).toBe(502);
    expect(fixture.arrivals.map(({ instanceId }) => instanceId)).toEqual(['one']);
  });

  it.each([REQUEST_ID, undefined])(
    'proves that the request did not run if it names %s',
    async (requestId) => {
      const servers = { one: refuse(refusal, requestId), two: respondWith('booked') };
      fixture = await startFixture({ servers });
      expect((await sendRequest(fixture.port, REQUEST_ID)).status).toBe(200);
      expect(fixture.arrivals.map(({ instanceId }) => instanceId)).toEqual(['one', 'two']);
    },
  );
});
