import { expect, it } from 'vitest';

import { parseDecimal } from './parse-decimal.js';

it('reads decimal numbers and nothing else', () => {
  expect(['0', ' 1.25 ', '.5', '3.'].map(parseDecimal)).toEqual([0, 1.25, 0.5, 3]);
  for (const text of ['', ' ', '-1', '+1', '1e3', '0x10', '1,2', 'NaN', 'Infinity', '.']) {
    expect(parseDecimal(text), text).toBeUndefined();
  }
});
