import { sleep } from '@lapisbridge/kernel';
import { expect, it } from 'vitest';

import { settleWithoutStragglers } from './settle-without-stragglers.js';

async function after(milliseconds: number, answer: string): Promise<string> {
  await sleep(milliseconds);
  return answer;
}

const NEVER = new Promise<string>(() => {
  // Never settles, like a call whose answer is lost.
});

it('waits for all answers that arrive close together', async () => {
  const calls = [after(5, 'a'), after(15, 'b'), after(1, 'c')];
  expect(await settleWithoutStragglers(calls, 'none')).toEqual(['a', 'b', 'c']);
});

it('does not wait for a missing answer', async () => {
  // Two of the ranks to be armed under a hold do not answer. Every stream of the group waits until
  // their orders are sent again.
  const calls = [after(5, 'a'), NEVER, after(10, 'c'), NEVER];
  expect(await settleWithoutStragglers(calls, 'none')).toEqual(['a', 'none', 'c', 'none']);
});

it('waits for slow answers as long as they keep arriving', async () => {
  const calls = Array.from({ length: 8 }, (_, index) => after(20 * (index + 1), String(index)));
  expect(await settleWithoutStragglers(calls, 'none')).toEqual([
    '0',
    '1',
    '2',
    '3',
    '4',
    '5',
    '6',
    '7',
  ]);
});

it('settles an empty batch, and one without any answer', async () => {
  expect(await settleWithoutStragglers([], 'none')).toEqual([]);
  expect(await settleWithoutStragglers([NEVER], 'none')).toEqual(['none']);
});

it('rejects when a call rejects', async () => {
  await expect(
    settleWithoutStragglers([Promise.reject(new Error('broken'))], 'none'),
  ).rejects.toThrow('broken');
});
