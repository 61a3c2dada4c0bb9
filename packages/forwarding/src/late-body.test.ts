import { request } from 'node:http';

import { afterEach, describe, expect, it } from 'vitest';

import { respondWith, startFixture } from './forwarding-fixture.js';
import type { Fixture } from './forwarding-fixture.js';

let fixture: Fixture | undefined;

afterEach(async () => {
  await fixture?.close();
});

describe('a request whose body arrives after its head', () => {
  it('is admitted by the configuration in force when the request is complete', async () => {
    // Guards against an entry that reports a new configuration as in force and then decides on the
    // former one.
    fixture = await startFixture({ servers: { one: respondWith('whole') } });
    const { catalog, port, arrivals } = fixture;
    const { configuration } = catalog.operatorState();
    if (configuration === undefined) throw new Error('the fixture has no configuration');
    const status = await new Promise<number | undefined>((resolve, reject) => {
      const outgoing = request(
        { host: '127.0.0.1', port, method: 'POST', headers: { 'request-id': 'late' } },
        (incoming) => {
          incoming.resume();
          incoming.on('end', () => resolve(incoming.statusCode));
        },
      );
      outgoing.on('error', reject);
      outgoing.write('first half, ');
      setTimeout(() => {
        catalog.replaceOperatorState({
          revision: 2,
          configuration: { ...configuration, version: 2, routes: [] },
          drainedZones: new Set(),
        });
        outgoing.end('second half');
      }, 100);
    });
    expect(status).toBe(404);
    expect(arrivals).toEqual([]);
  });
});
