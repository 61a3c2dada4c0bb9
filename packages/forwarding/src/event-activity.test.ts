import { expect, it } from 'vitest';

import { createEventActivity } from './event-activity.js';

it('distinguishes a stopped service from a slow or idle one', () => {
  let now = 0;
  const activity = createEventActivity(() => now);
  expect(activity.hasServiceStalled('drafts')).toBe(false);
  activity.recordEvent('drafts', 'one');
  now = 400;
  expect(activity.hasServiceStalled('drafts')).toBe(false);
  now = 900;
  expect(activity.hasServiceStalled('drafts')).toBe(true);
  now = 20_000;
  expect(activity.hasServiceStalled('drafts')).toBe(false);
});

it('reports a server as stalled only while others of its service send events', () => {
  let now = 0;
  const activity = createEventActivity(() => now);
  activity.recordEvent('drafts', 'one');
  activity.recordEvent('drafts', 'two');
  now = 1200;
  expect(activity.isStalled('drafts', 'one', 1000)).toBe(false);
  activity.recordEvent('drafts', 'two');
  expect(activity.isStalled('drafts', 'one', 1000)).toBe(true);
  expect(activity.isStalled('drafts', 'two', 1000)).toBe(false);
});
