import { expect, it } from 'vitest';

import { createChunkCollector } from './chunk-collector.js';

const CHUNKS = [1, 1, 700, 5000, 3, 200_000, 64];

function chunksOf(sizes: readonly number[]): Buffer[] {
  return sizes.map((size, index) => Buffer.alloc(size, index + 1));
}

it.each([0, 205_769, 1_000_000])(
  'returns all bytes in their order, with %d expected',
  (expected) => {
    const chunks = chunksOf(CHUNKS);
    const collector = createChunkCollector(expected);
    for (const chunk of chunks) collector.append(chunk);
    const whole = Buffer.concat(chunks);
    expect(collector.length()).toBe(whole.length);
    expect(collector.capacity()).toBeLessThanOrEqual(whole.length + 64 * 1024);
    const taken = collector.take();
    expect(taken.equals(whole)).toBe(true);
    expect(taken.buffer.byteLength).toBeLessThanOrEqual(whole.length + 8192);
    expect(collector.length()).toBe(0);
  },
);

it('occupies no more than a small message announces', () => {
  const collector = createChunkCollector(100);
  for (const chunk of chunksOf([60, 40])) collector.append(chunk);
  expect(collector.capacity()).toBe(100);
});

it('takes little memory for a message in single bytes', () => {
  const collector = createChunkCollector(1_000_000);
  for (let index = 0; index < 3000; index += 1) collector.append(Buffer.alloc(1));
  expect(collector.capacity()).toBeLessThanOrEqual(4096);
});
