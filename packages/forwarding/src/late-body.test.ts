import { request } from 'node:http';

import { afterEach, describe, expect, it } from 'vitest';

import { answerWith, startFixture } from './forwarding-fixture.js';
import type { Fixture } from './forwarding-fixture.js';

let fixture: Fixture | undefined;

afterEach(async () => {
  await fixture?.close();
});

describe('a request whose body comes after its head', () => {
  it('is decided on the configuration that is in force when it is whole', async () => {
    // Guards against an entry that shows a new configuration and then decides on the former one.
    fixture = await startFixture({ servers: { one: answerWith('whole') } });
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
