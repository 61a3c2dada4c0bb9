/**
 * Answers stay whole whatever order their pieces come in.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import {
  AppendKind,
  createAnswerBuffer,
  formatEventId,
  parseEventId,
  planAppend,
} from './index.js';

describe('appending by offset', () => {
  it('gives the whole text from pieces that come late, twice and overlapping', () => {
    // A sidecar's connection broke and was resumed, so pieces of the old one arrive again or out
    // of order. Appending them blindly would show the caller repeated or missing words.
    const cases = fc.string({ minLength: 1, maxLength: 60 }).chain((text) =>
      fc.record({
        text: fc.constant(text),
        pieces: fc.array(
          fc.tuple(fc.nat(text.length), fc.nat(text.length)).map(([left, right]) => ({
            offset: Math.min(left, right),
            text: text.slice(Math.min(left, right), Math.max(left, right)),
          })),
        ),
      }),
    );
    fc.assert(
      fc.property(cases, ({ text, pieces }) => {
        let passed = '';
        for (const piece of [...pieces, { offset: 0, text }]) {
          const append = planAppend(passed.length, piece.offset, piece.text);
          if (append.kind === AppendKind.Append) passed += append.text;
        }
        expect(passed).toBe(text);
      }),
    );
  });
});

describe('an answer buffer', () => {
  it('reads any part, also text delivered by an earlier attempt', () => {
    fc.assert(
      fc.property(
        fc.string(),
        fc.array(fc.string({ minLength: 1 })),
        fc.nat(100),
        fc.integer({ min: 1, max: 20 }),
        (delivered, pieces, offset, maximum) => {
          const buffer = createAnswerBuffer('account', delivered);
          let whole = delivered;
          for (const piece of pieces) {
            buffer.append(piece);
            whole += piece;
            expect(buffer.read(whole.length - piece.length, 1000)).toBe(piece);
          }
          expect(buffer.length).toBe(whole.length);
          expect(buffer.read(offset, maximum)).toBe(whole.slice(offset, offset + maximum));
        },
      ),
    );
  });
});

describe('an event id', () => {
  it('comes back as it was, and rubbish is refused', () => {
    const id = { requestId: 'Zk3b0Qw1S1uZ0Yd3m8m1xA', instanceId: 'brno-a-runner-1', offset: 17 };
    expect(parseEventId(formatEventId(id))).toEqual(id);
    for (const bad of ['', 'a~b/1', 'Zk3b0Qw1S1~x/-1', 'Zk3b0Qw1S1~x/1e9', 'Zk3b0Qw1S1/4']) {
      expect(parseEventId(bad)).toBeUndefined();
    }
  });
});
