import { describe, expect, it } from 'vitest';

import { createStoreClock } from './store-clock.js';

const MINUTE_MILLISECONDS = 60_000;

describe('the store’s clock', () => {
  it('tells ages by the shortest way on which a time of it came', () => {
    const time = { now: 1000 };
    const clock = createStoreClock(() => time.now);
    expect(clock.ageMilliseconds(0)).toBe(Infinity);
    clock.observe(20);
    time.now += 500;
    // This one waited for 480 ms.
    clock.observe(40);
    expect(clock.ageMilliseconds(40)).toBe(480);
  });

  it('forgets a time that was ahead', () => {
    // Guards against copies that are taken for old for ever after one wrong answer.
    const time = { now: 0 };
    const clock = createStoreClock(() => time.now);
    clock.observe(5000);
    for (let minute = 0; minute < 3; minute += 1) {
      time.now += MINUTE_MILLISECONDS + 1;
      clock.observe(time.now);
    }
    expect(clock.ageMilliseconds(time.now)).toBe(0);
  });
});
