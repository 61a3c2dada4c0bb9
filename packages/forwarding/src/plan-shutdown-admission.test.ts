import { describe, expect, it } from 'vitest';

import { ShutdownPhase } from './entry-shutdown.js';
import { planSendWindow } from './plan-shutdown-admission.js';

const EARLY = {
  admittedIn: ShutdownPhase.Accepting,
  untilExpiryMilliseconds: 8000,
  untilDeadlineMilliseconds: 7000,
  usualMilliseconds: 2000,
};

describe('the time in which a request may still be sent to a server', () => {
  it('ends with the request while the entry does not shut down', () => {
    const input = {
      ...EARLY,
      admittedIn: ShutdownPhase.None,
      untilDeadlineMilliseconds: Infinity,
    };
    expect(planSendWindow(input)).toBe(8000);
  });

  it('ends with the request if its own timeout is before the deadline', () => {
    for (const admittedIn of Object.values(ShutdownPhase)) {
      expect(planSendWindow({ ...EARLY, admittedIn, untilExpiryMilliseconds: 800 })).toBe(800);
    }
  });

  it('leaves an early request the usual time of its route', () => {
    expect(planSendWindow(EARLY)).toBe(5000);
    expect(planSendWindow({ ...EARLY, admittedIn: ShutdownPhase.None })).toBe(5000);
    expect(planSendWindow({ ...EARLY, usualMilliseconds: 7000 })).toBe(0);
    expect(planSendWindow({ ...EARLY, usualMilliseconds: 7500 })).toBe(0);
  });

  it('is over for a request that came after the listener was closed and may outlast the entry', () => {
    const late = { ...EARLY, admittedIn: ShutdownPhase.Draining, usualMilliseconds: 1 };
    expect(planSendWindow(late)).toBe(0);
  });
});
