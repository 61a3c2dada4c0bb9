import fc from 'fast-check';
import { expect, it } from 'vitest';

import { createEventSplitter } from './event-splitter.js';

it('returns the same events for every division into chunks', () => {
  const text = 'id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nevent: end\n\n';
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }), (sizes) => {
      const splitter = createEventSplitter();
      const events: { id: number | undefined; text: string }[] = [];
      let offset = 0;
      for (let index = 0; offset < text.length; index += 1) {
        const size = sizes[index % sizes.length] ?? 1;
        for (const { id, bytes } of splitter.push(Buffer.from(text.slice(offset, offset + size)))) {
          events.push({ id, text: bytes.toString() });
        }
        offset += size;
      }
      expect(events.map(({ id }) => id)).toEqual([1, 2, undefined]);
      expect(events.map((event) => event.text).join('')).toBe(text);
      expect(splitter.hasPartialEvent()).toBe(false);
    }),
    { seed: 1 },
  );
});

it('buffers an incomplete event', () => {
  const splitter = createEventSplitter();
  expect(splitter.push(Buffer.from('id: 1\ndata: o'))).toEqual([]);
  expect(splitter.hasPartialEvent()).toBe(true);
});

it('searches each byte once, however small the pieces of an event are', () => {
  // Guards against a server that keeps the process busy with one event that never ends.
  const splitter = createEventSplitter();
  const piece = Buffer.from('data\n');
  const startedAt = performance.now();
  while (!splitter.isOverflowing()) splitter.push(piece);
  expect(performance.now() - startedAt).toBeLessThan(500);
});

it('keeps no more of an endless event than the largest event', () => {
  const splitter = createEventSplitter();
  const piece = Buffer.alloc(64 * 1024, 'x');
  for (let pushed = 0; pushed < 2; pushed += 1) splitter.push(piece);
  expect(splitter.isOverflowing()).toBe(false);
  expect(splitter.push(piece)).toEqual([]);
  expect(splitter.isOverflowing()).toBe(true);
});

it('leaves out comments, which do not count as progress', () => {
  const splitter = createEventSplitter();
  const events = splitter.push(Buffer.from(': still here\n\nid: 1\n: note\ndata: one\n\n:\n\n'));
  expect(events.map(({ id }) => id)).toEqual([1]);
  const comments = Buffer.from(': nothing\n\n'.repeat(1000));
  while (!splitter.isOverflowing()) expect(splitter.push(comments)).toEqual([]);
});
