import { expect, it } from 'vitest';

import { createRetryAccount } from './retry-account.js';
import type { RetryAccount } from './retry-account.js';
import { RetryCause } from './retry-budget-share.js';

interface Fixture {
  readonly account: RetryAccount;
  spent(): number;
}

function createFixture(budget = 10): Fixture {
  let spent = 0;
  const share = {
    trySpend() {
      if (spent === budget) return false;
      spent += 1;
      return true;
    },
    refund() {
      spent -= 1;
    },
  };
  return { account: createRetryAccount(share, 'service'), spent: () => spent };
}

it('charges every attempt but the first', () => {
  const { account, spent } = createFixture();
  for (let attempt = 0; attempt < 3; attempt += 1) account.tryBegin(RetryCause.Refused);
  expect(spent()).toBe(2);
});

it('charges no attempt that replaces one that was not sent', () => {
  const { account, spent } = createFixture(0);
  expect(account.tryBegin(RetryCause.Lost)).toBe(true);
  account.onNotSent();
  expect(account.tryBegin(RetryCause.Refused)).toBe(true);
  expect(spent()).toBe(0);
  expect(account.tryBegin(RetryCause.Lost)).toBe(false);
});

it('returns what was charged for a retry that was not sent', () => {
  const { account, spent } = createFixture();
  account.tryBegin(RetryCause.Lost);
  account.tryBegin(RetryCause.Lost);
  account.onNotSent();
  expect(spent()).toBe(0);
});

it('returns the charge of a second attempt when the first one turns out not to be sent', () => {
  const { account, spent } = createFixture();
  account.tryBegin(RetryCause.Lost);
  account.tryBegin(RetryCause.Hedged);
  account.onNotSent();
  expect(spent()).toBe(0);
  account.onNotSent();
  expect(spent()).toBe(0);
});

it('keeps the charges of three attempts of which one was not sent', () => {
  const { account, spent } = createFixture();
  for (let attempt = 0; attempt < 3; attempt += 1) account.tryBegin(RetryCause.Refused);
  account.onNotSent();
  expect(spent()).toBe(1);
});
