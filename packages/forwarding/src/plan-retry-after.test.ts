import { expect, it } from 'vitest';

import { planRefusalCause, planRetryAfter, RefusalCause } from './plan-retry-after.js';

it('never asks for more than a third of the time that the caller has left', () => {
  for (const cause of Object.values(RefusalCause)) {
    expect(planRetryAfter(cause, 900, 0.999)).toBeLessThanOrEqual(300);
  }
});

it('spreads callers that are refused together', () => {
  // A group breaks and a hundred streams are refused in the same moment. Told the same time they
  // would come back together and be refused together.
  const late = planRetryAfter(RefusalCause.GroupBroken, 8000, 0);
  const early = planRetryAfter(RefusalCause.GroupBroken, 8000, 0.999);
  expect(late - early).toBeGreaterThan(800);
});

it('sends callers away for as long as an outage takes once a group has fallen silent', () => {
  // A zone is cut off. For a second and a half nobody tells that the group stands still, connections
  // to the other zones fail, and callers that are told to come back in a second come back in vain.
  const short = planRetryAfter(RefusalCause.BudgetSpent, 8000, 0.5);
  const cause = planRefusalCause(RefusalCause.BudgetSpent, true);
  expect(planRetryAfter(cause, 8000, 0.5)).toBeGreaterThan(1.8 * short);
  expect(planRefusalCause(RefusalCause.Full, false)).toBe(RefusalCause.Full);
  expect(planRefusalCause(RefusalCause.NoServer, true)).toBe(RefusalCause.NoServer);
});
