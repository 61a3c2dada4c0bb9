import { describe, expect, it } from 'vitest';

import { othersPerRequest, planTrafficShare } from './traffic-share.js';

describe('the share of the requests that an entry sends', () => {
  it.each([
    ['is even while nothing is in flight', 0, 0, 1 / 6],
    ['stays even where requests are spread evenly', 60, 10, 1 / 6],
    ['approaches one where this entry sends all', 60, 60, 0.95],
    ['approaches zero where it sends none', 60, 0, 0.01],
  ])('%s', (_what, reportedRequests, ownRequests, expected) => {
    const share = planTrafficShare({ reportedRequests, ownRequests, entries: 6 });
    expect(share).toBeCloseTo(expected, 2);
  });

  it('is one for the only entry, which then expects no others', () => {
    const share = planTrafficShare({ reportedRequests: 8, ownRequests: 8, entries: 1 });
    expect(share).toBe(1);
    expect(othersPerRequest(share)).toBe(0);
  });

  it('tells how many requests others send for each one', () => {
    expect(othersPerRequest(1 / 6)).toBeCloseTo(5);
  });

  it('does not exceed one when reports are older than the own requests', () => {
    const share = planTrafficShare({ reportedRequests: 3, ownRequests: 20, entries: 6 });
    expect(share).toBeLessThan(1);
  });
});
