import { createHistory, EventKind } from '@lapisbridge/history';
import type { EventOf } from '@lapisbridge/history';
import { expect, it } from 'vitest';

import { createRetryWatch } from './retry-watch.js';

const LIMITS = { ratio: 0.5, slack: 1, windowMilliseconds: 1000 };

interface Arrival {
  readonly at: number;
  readonly request: string;
}

/** Requests are sent when they first arrive. */
function watchArrivals(arrivals: readonly Arrival[]): EventOf<EventKind.RetryLoad>[] {
  const history = createHistory();
  let now = 0;
  const watch = createRetryWatch(history, LIMITS, () => now);
  const sent = new Set<string>();
  for (const { at, request } of arrivals) {
    now = at;
    if (!sent.has(request)) watch.onRequest('service');
    sent.add(request);
    watch.onArrival('service', request);
  }
  watch.conclude();
  return history.events.filter((event) => event.kind === EventKind.RetryLoad);
}

it('counts what arrives beyond the first of each request in the worst window', () => {
  const arrivals = [
    { at: 0, request: 'a' },
    { at: 10, request: 'b' },
    { at: 500, request: 'a' },
    { at: 600, request: 'a' },
    { at: 700, request: 'b' },
    { at: 1700, request: 'a' },
  ];
  expect(watchArrivals(arrivals)).toMatchObject([{ retries: 3, allowed: 2 }]);
});

it('counts the requests of the window, of the one before it, or of the one halfway', () => {
  const arrivals = [
    { at: 0, request: 'a' },
    { at: 100, request: 'b' },
    { at: 1000, request: 'a' },
    { at: 1050, request: 'b' },
  ];
  expect(watchArrivals(arrivals)).toMatchObject([{ retries: 2, allowed: 2 }]);
});

it('records nothing where nothing is retried', () => {
  expect(watchArrivals([{ at: 0, request: 'a' }])).toEqual([]);
});
