import { expect, it } from 'vitest';

import { cutIntoPieces } from './bounded-writer.js';

it('writes whole lines, at most what a pipe takes in one piece', () => {
  // A busy entry writes 20 KB in a tenth of a second. A reader that takes 8 KB at a time loses the
  // rest, and with it the lines about the very requests that failed.
  const lines = Array.from({ length: 60 }, (_, index) => `${index} ${'é'.repeat(150)}\n`);
  const pieces = cutIntoPieces(lines);
  expect(Buffer.concat(pieces).toString()).toBe(lines.join(''));
  expect(pieces.length).toBeGreaterThan(4);
  for (const piece of pieces) {
    expect(piece.length).toBeLessThanOrEqual(4096);
    expect(piece.toString().endsWith('\n')).toBe(true);
  }
});

it('writes a line that is longer than a piece by itself', () => {
  const long = `${'x'.repeat(5000)}\n`;
  expect(cutIntoPieces(['a\n', long, 'b\n']).map(String)).toEqual(['a\n', long, 'b\n']);
});

it('writes nothing where nothing waits', () => {
  expect(cutIntoPieces([])).toEqual([]);
});
