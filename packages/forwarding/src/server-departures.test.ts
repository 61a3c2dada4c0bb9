import type { BackendServer } from '@lapisbridge/catalog';
import { createSilentLogger } from '@lapisbridge/logger';
import { beforeEach, describe, expect, it } from 'vitest';

import { serverWith } from './backend-server-fixture.js';
import { headWith } from './head-fixture.js';
import { createServerDepartures } from './server-departures.js';
import type { ServerDepartures } from './server-departures.js';

function server(startedAt: number | undefined): BackendServer {
  return serverWith({ startedAt });
}

describe('departures that servers state', () => {
  let now = 0;
  let departures: ServerDepartures;

  function list(...servers: readonly BackendServer[]): void {
    departures.keepOnly(new Map(servers.map((one) => [one.instanceId, one])));
  }

  beforeEach(() => {
    now = 1000;
    departures = createServerDepartures(() => now, createSilentLogger());
    departures.onAnswer(server(1), headWith({ isLeaving: true }));
  });

  it('apply from the first answer on, whatever later answers or the store state', () => {
    now += 60_000;
    departures.onAnswer(server(1), headWith());
    list(server(1));
    expect(departures.isLeaving(server(1))).toBe(true);
    expect(departures.list()).toEqual([{ instanceId: 'server', ageMilliseconds: 60_000 }]);
  });

  it('do not apply to a process that has restarted under the same id', () => {
    expect(departures.isLeaving(server(2))).toBe(false);
    list(server(2));
    expect(departures.list()).toEqual([]);
    departures.onAnswer(server(2), headWith({ isLeaving: true }));
    expect(departures.isLeaving(server(2))).toBe(true);
  });

  it('apply if the start time of the process is not known', () => {
    expect(departures.isLeaving(server(undefined))).toBe(true);
  });

  it('persist while the server is missing from the list', () => {
    list();
    expect(departures.list()).toEqual([]);
    now += 60_000;
    list(server(1));
    expect(departures.isLeaving(server(1))).toBe(true);
    list();
    now += 1_000_000;
    list();
    expect(departures.isLeaving(server(1))).toBe(false);
  });
});
