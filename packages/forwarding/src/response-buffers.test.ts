import { expect, it } from 'vitest';

import { createResponseBuffers } from './response-buffers.js';
import type { ResponseBuffers } from './response-buffers.js';

const LIMITS = { declaredBytes: 100, undeclaredBytes: 60, totalBytes: 150 };

function openCounted(buffers: ResponseBuffers, declaredBytes?: number) {
  const overflows = { count: 0 };
  const buffer = buffers.open(declaredBytes, () => {
    overflows.count += 1;
  });
  return { buffer, overflows };
}

it('ends a response that exceeds its own limit, once', () => {
  const { buffer, overflows } = openCounted(createResponseBuffers(LIMITS), 100);
  for (let sent = 0; sent < 10; sent += 1) buffer.append(Buffer.alloc(30));
  expect(overflows.count).toBe(1);
});

it('allows fewer bytes to a response without a stated length', () => {
  const buffers = createResponseBuffers(LIMITS);
  const declared = openCounted(buffers, 100);
  declared.buffer.append(Buffer.alloc(80));
  expect(declared.overflows.count).toBe(0);
  const undeclared = openCounted(createResponseBuffers(LIMITS));
  undeclared.buffer.append(Buffer.alloc(80));
  expect(undeclared.overflows.count).toBe(1);
});

it('ends the largest response when all together exceed the limit', () => {
  // Guards against responses without end at several servers that exhaust the memory together.
  const buffers = createResponseBuffers(LIMITS);
  const large = openCounted(buffers, 100);
  const small = openCounted(buffers, 100);
  large.buffer.append(Buffer.alloc(90));
  small.buffer.append(Buffer.alloc(50));
  small.buffer.append(Buffer.from('end of it!!'));
  expect(large.overflows.count).toBe(1);
  expect(small.overflows.count).toBe(0);
  expect(small.buffer.take().subarray(50).toString()).toBe('end of it!!');
});

it('joins chunks of any size in order', () => {
  const buffer = createResponseBuffers().open(undefined, () => undefined);
  const sizes = [1, 20_000, 3, 4, 9000, 9000, 5];
  const chunks = sizes.map((size, index) => Buffer.alloc(size, index));
  for (const chunk of chunks) buffer.append(chunk);
  expect(buffer.take()).toEqual(Buffer.concat(chunks));
});

it('frees the bytes of responses that have ended', () => {
  const buffers = createResponseBuffers(LIMITS);
  for (let response = 0; response < 20; response += 1) {
    const { buffer, overflows } = openCounted(buffers, 100);
    buffer.append(Buffer.alloc(90));
    expect(overflows.count).toBe(0);
    buffer.take();
  }
});
