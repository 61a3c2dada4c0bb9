import { expect, it } from 'vitest';

import { createResponseTimes } from './response-times.js';

it('knows the time within which nine of ten recent responses of a route were complete', () => {
  const times = createResponseTimes();
  expect(times.usualMilliseconds('route')).toBeUndefined();
  for (let milliseconds = 1; milliseconds <= 10; milliseconds += 1) {
    times.record('route', milliseconds);
  }
  expect(times.usualMilliseconds('route')).toBe(9);
  expect(times.usualMilliseconds('other')).toBeUndefined();
  for (let response = 0; response < 32; response += 1) times.record('route', 500);
  expect(times.usualMilliseconds('route')).toBe(500);
});

it('forgets the routes that have had no response for the longest time', () => {
  const times = createResponseTimes();
  for (let route = 0; route < 300; route += 1) {
    times.record('used', 5);
    times.record(`route-${route}`, 5);
  }
  expect(times.usualMilliseconds('route-0')).toBeUndefined();
  expect(times.usualMilliseconds('route-299')).toBe(5);
  expect(times.usualMilliseconds('used')).toBe(5);
});
