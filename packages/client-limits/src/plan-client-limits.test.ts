import { describe, expect, it } from 'vitest';

import { planClientLimits } from './plan-client-limits.js';

const HEAP_BYTES = 100 * 1024 * 1024;
const MEBIBYTE = 1024 * 1024;

function plan(memoryMegabytes: number, maximumDescriptors: number) {
  return planClientLimits({
    memoryBytes: memoryMegabytes * 1e6,
    maximumDescriptors,
    heapBytes: HEAP_BYTES,
  });
}

describe('the limits on clients', () => {
  it.each([
    [202, 2870],
    [250, 4100],
    [350, 4200],
    [602, 8192],
    [24_000, 1_000_000],
  ])('fit a machine of %d MB and %d descriptors', (megabytes, descriptors) => {
    const limits = plan(megabytes, descriptors);
    expect(limits.bodyBytes + limits.headBytes).toBeLessThan(megabytes * 1e6);
    expect(limits.connections + limits.requests).toBeLessThan(descriptors);
    expect(limits.largeBodyBytes).toBeLessThan(limits.bodyBytes);
    expect(limits.pausedBodies).toBeGreaterThan(0);
  });

  it('leave room for two largest bodies on a machine that is too small', () => {
    expect(plan(100, 300).bodyBytes).toBe(8 * MEBIBYTE);
    expect(plan(100, 300).connections).toBeGreaterThan(0);
    expect(plan(100, 300).requests).toBeGreaterThan(0);
  });

  it('grow with the machine', () => {
    expect(plan(350, 4200).bodyBytes).toBeGreaterThan(plan(250, 4200).bodyBytes);
    expect(plan(350, 4200).connections).toBeGreaterThan(plan(350, 2870).connections);
  });
});
