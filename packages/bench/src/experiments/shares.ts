/**
 * One account's budget of tokens in progress, held in parts by many entries: escrow shares,
 * after "Compensation-Aware Data Types in RDBMS" (§3.1 to §3.3), against a plain split. An
 * entry takes a chunk from the pool row by a conditional write only if every outcome of what
 * is unconfirmed stays within the budget, and gives idle chunks back.
 */
import type { Random } from '@lapisbridge/kernel';

import type { Cell, Experiment } from '../report/experiment.js';

enum Strategy {
  Central = 'one counter (ideal)',
  Split = 'plain split',
  Escrow = 'escrow shares',
}

const BUDGET = 1000;
const CHUNK = 20;
const TICKS = 6000;
const TICKS_PER_SECOND = 10;
const REQUEST_TOKENS = 10;
const REQUEST_TICKS = 20;
/** Ticks that an entry keeps an unused chunk before it gives it back. */
const IDLE_TICKS = 30;
/** Ticks after which demand moves to another entry. */
const SHIFT_TICKS = 600;
const SKEWED_SHARE = 0.6;

interface Holder {
  share: number;
  used: number;
  idleSince: number;
  readonly ends: number[];
}

interface Tally {
  asked: number;
  admitted: number;
  writes: number;
  highest: number;
}

function finishDue(holder: Holder, tick: number): void {
  while ((holder.ends[0] ?? Infinity) <= tick) {
    holder.ends.shift();
    holder.used -= REQUEST_TOKENS;
  }
}

function pickEntry(entries: number, tick: number, random: Random): number {
  const favoured = Math.floor(tick / SHIFT_TICKS) % entries;
  return random() < SKEWED_SHARE ? favoured : Math.floor(random() * entries);
}

function mayAdmit(
  strategy: Strategy,
  holder: Holder,
  holders: readonly Holder[],
  pool: { left: number },
  tally: Tally,
): boolean {
  switch (strategy) {
    case Strategy.Central: {
      const used = holders.reduce((sum, one) => sum + one.used, 0);
      return used + REQUEST_TOKENS <= BUDGET;
    }
    case Strategy.Split:
      return holder.used + REQUEST_TOKENS <= Math.floor(BUDGET / holders.length);
    case Strategy.Escrow:
      if (holder.used + REQUEST_TOKENS <= holder.share) return true;
      if (pool.left < CHUNK) return false;
      pool.left -= CHUNK;
      holder.share += CHUNK;
      tally.writes += 1;
      return true;
    default: {
      const unreachable: never = strategy;
      throw new Error(String(unreachable));
    }
  }
}

function giveBackIdle(holder: Holder, pool: { left: number }, tally: Tally, tick: number): void {
  if (holder.share - holder.used < 2 * CHUNK) {
    holder.idleSince = tick;
    return;
  }
  if (tick - holder.idleSince < IDLE_TICKS) return;
  const chunks = Math.floor((holder.share - holder.used) / CHUNK) - 1;
  holder.share -= chunks * CHUNK;
  pool.left += chunks * CHUNK;
  holder.idleSince = tick;
  tally.writes += 1;
}

function run(strategy: Strategy, entries: number, perTick: number, random: Random): Tally {
  const holders: Holder[] = Array.from({ length: entries }, () => ({
    share: 0,
    used: 0,
    idleSince: 0,
    ends: [],
  }));
  const pool = { left: BUDGET };
  const tally: Tally = { asked: 0, admitted: 0, writes: 0, highest: 0 };
  for (let tick = 0; tick < TICKS; tick += 1) {
    for (const holder of holders) finishDue(holder, tick);
    const arrivals = Math.floor(perTick + random());
    for (let arrival = 0; arrival < arrivals; arrival += 1) {
      const holder = holders[pickEntry(entries, tick, random)];
      tally.asked += 1;
      if (mayAdmit(strategy, holder, holders, pool, tally)) {
        holder.used += REQUEST_TOKENS;
        holder.ends.push(tick + REQUEST_TICKS);
        tally.admitted += 1;
      }
    }
    for (const holder of holders) {
      if (strategy === Strategy.Escrow) giveBackIdle(holder, pool, tally, tick);
    }
    const used = holders.reduce((sum, { used: own }) => sum + own, 0);
    tally.highest = Math.max(tally.highest, used);
  }
  return tally;
}

export const sharesExperiment: Experiment = {
  name: 'shares',
  description:
    `A budget of ${BUDGET} tokens in progress over many entries; ${100 * SKEWED_SHARE}% of the ` +
    'demand comes to one entry, another one each minute; ten minutes.',
  run({ random }) {
    const rows: Cell[][] = [];
    for (const entries of [7, 24]) {
      for (const load of [0.6, 1, 1.5]) {
        const perTick = (load * BUDGET) / REQUEST_TOKENS / REQUEST_TICKS;
        for (const strategy of Object.values(Strategy)) {
          const { asked, admitted, writes, highest } = run(strategy, entries, perTick, random);
          const perSecond = (writes * TICKS_PER_SECOND) / TICKS;
          rows.push([entries, load, strategy, (100 * admitted) / asked, highest, perSecond]);
        }
      }
    }
    const columns = [
      'entries',
      'demand / budget',
      'strategy',
      'admitted %',
      'highest in progress',
      'table writes/s an account',
    ];
    return Promise.resolve({
      tables: [{ title: 'Admitted within the budget', columns, rows }],
      plots: [],
      notes: [],
    });
  },
};
