import { sleep } from '@lapisbridge/kernel';
import { expect, it } from 'vitest';

import { settleWithoutStragglers } from './settle-without-stragglers.js';

async function after(milliseconds: number, answer: string): Promise<string> {
  await sleep(milliseconds);
  return answer;
}

const NEVER = new Promise<string>(() => {
  // Stays open, as a call whose answer is lost.
});

it('waits for every answer that comes with the others', async () => {
  const calls = [after(5, 'a'), after(15, 'b'), after(1, 'c')];
  expect(await settleWithoutStragglers(calls, 'none')).toEqual(['a', 'b', 'c']);
});

it('does not wait for an answer that stays away', async () => {
  // Two of the ranks that are to be armed under a hold leave their orders unanswered. Every stream
  // of the group stands still until these are given again.
  const calls = [after(5, 'a'), NEVER, after(10, 'c'), NEVER];
  expect(await settleWithoutStragglers(calls, 'none')).toEqual(['a', 'none', 'c', 'none']);
});

it('waits for slow answers as long as one follows another', async () => {
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

it('settles an empty batch, and one that nobody answers', async () => {
  expect(await settleWithoutStragglers([], 'none')).toEqual([]);
  expect(await settleWithoutStragglers([NEVER], 'none')).toEqual(['none']);
});

it('passes a failure on', async () => {
  await expect(
    settleWithoutStragglers([Promise.reject(new Error('broken'))], 'none'),
  ).rejects.toThrow('broken');
});
