import { expect, it } from 'vitest';

import { createPulse } from './pulse.js';

it('tells a service that has stopped from one that is slow or idle', () => {
  let now = 0;
  const pulse = createPulse(() => now);
  expect(pulse.hasStopped('drafts')).toBe(false);
  pulse.beat('drafts', 'one');
  now = 400;
  expect(pulse.hasStopped('drafts')).toBe(false);
  now = 900;
  expect(pulse.hasStopped('drafts')).toBe(true);
  now = 20_000;
  expect(pulse.hasStopped('drafts')).toBe(false);
});

it('calls a server stuck only while others of its service make events', () => {
  let now = 0;
  const pulse = createPulse(() => now);
  pulse.beat('drafts', 'one');
  pulse.beat('drafts', 'two');
  now = 1200;
  expect(pulse.isStuck('drafts', 'one', 1000)).toBe(false);
  pulse.beat('drafts', 'two');
  expect(pulse.isStuck('drafts', 'one', 1000)).toBe(true);
  expect(pulse.isStuck('drafts', 'two', 1000)).toBe(false);
});
