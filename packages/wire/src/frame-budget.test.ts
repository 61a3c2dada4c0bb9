import { expect, it } from 'vitest';

import { createFrameBudget } from './frame-budget.js';

it('closes the channel that holds most once all together hold too much', () => {
  const closed: string[] = [];
  const budget = createFrameBudget(100);
  const large = budget.open(() => closed.push('large'));
  const small = budget.open(() => closed.push('small'));
  large.update(90);
  small.update(10);
  expect(closed).toEqual([]);
  small.update(20);
  expect(closed).toEqual(['large']);
  small.update(100);
  expect(closed).toEqual(['large']);
});

it('lets a single channel exceed the limit, and forgets closed ones', () => {
  const closed: string[] = [];
  const budget = createFrameBudget(100);
  const first = budget.open(() => closed.push('first'));
  first.update(500);
  first.close();
  const second = budget.open(() => closed.push('second'));
  second.update(90);
  expect(closed).toEqual([]);
});
