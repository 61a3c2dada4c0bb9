import { describe, expect, it } from 'vitest';

import { createRequestDigest } from './request-digest.js';
import type { RequestContent } from './request-digest.js';

const CONTENT: RequestContent = {
  method: 'POST',
  host: 'callers.example',
  target: '/stream/1',
  promptParts: ['aa', 'b1'],
  body: Buffer.from('body'),
};

function fullOf(change: Partial<RequestContent>): string {
  return createRequestDigest({ ...CONTENT, ...change }).full();
}

describe('the digest of a request', () => {
  it('is the same for the same content, and begins with that of its head', () => {
    expect(fullOf({})).toBe(fullOf({ body: Buffer.from('body') }));
    const digest = createRequestDigest(CONTENT);
    expect(digest.full().startsWith(digest.head())).toBe(true);
  });

  it.each<[string, Partial<RequestContent>]>([
    ['method', { method: 'PUT' }],
    ['host', { host: 'other.example' }],
    ['target', { target: '/stream/2' }],
    ['last part of the prompt', { promptParts: ['aa', 'b2'] }],
    ['body', { body: Buffer.from('else') }],
  ])('differs with the %s', (_what, change) => {
    expect(fullOf(change)).not.toBe(fullOf({}));
  });

  it('does not hash the body for its head', () => {
    // Guards against hashing megabytes for each request.
    const head = createRequestDigest({ ...CONTENT, body: Buffer.from('else') }).head();
    expect(head).toBe(createRequestDigest(CONTENT).head());
  });
});
