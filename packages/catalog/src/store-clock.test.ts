import { describe, expect, it } from 'vitest';

import { createStoreClock } from './store-clock.js';

const MINUTE_MILLISECONDS = 60_000;

describe('the store’s clock', () => {
  it('measures ages by the least delayed time that was observed', () => {
    const time = { now: 1000 };
    const clock = createStoreClock(() => time.now);
    expect(clock.ageMilliseconds(0)).toBe(Infinity);
    clock.observe(20);
    time.now += 500;
    // This time was delayed by 480 ms.
    clock.observe(40);
    expect(clock.ageMilliseconds(40)).toBe(480);
  });

  it('forgets a time that was ahead of the others', () => {
    // Guards against copies that count as outdated forever after one wrong response.
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
