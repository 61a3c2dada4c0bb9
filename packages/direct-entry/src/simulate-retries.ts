/**
 * Plays the retry budgets of many entries in simulated time: processes that are killed and started
 * again, zones that are cut off from each other, entries that join and leave, and uneven traffic.
 * Every request fails and is retried as often as its entry allows.
 */
import { findWorstRetryWindow } from '@lapisbridge/history';
import type { RetryLimits, RetryWindow } from '@lapisbridge/history';
import type { Random } from '@lapisbridge/kernel';

/** The retry budget of one process. */
export interface SimulatedBudget {
  recordRequest(): void;
  trySpend(): boolean;
}

/** What one process knows, from its start on. */
export interface SimulatedProcess {
  /** Number of entries that it knows, itself included. */
  knownEntries(): number;
  readonly startedAt: number;
  now(): number;
}

export enum Traffic {
  Even = 'even',
  /** One entry gets all requests. */
  Single = 'single',
  /** All requests move from entry to entry. */
  Moving = 'moving',
}

/** The entries are in `sides` groups that do not hear each other. */
export interface SimulatedCut {
  readonly from: number;
  readonly to: number;
  readonly sides: number;
}

export interface RetrySimulation {
  readonly entries: number;
  readonly requestsPerSecond: number;
  readonly traffic: Traffic;
  readonly milliseconds: number;
  /** Requests fail from this time on. */
  readonly failingFrom: number;
  /** Times at which entries are killed; each starts again half a second later. */
  readonly kills: readonly { readonly at: number; readonly entry: number }[];
  /** Time for which a killed process goes on serving beside the next one; 0 if absent. */
  readonly overlapMilliseconds?: number;
  readonly cuts: readonly SimulatedCut[];
  /** Entries of this index and above start at this time. */
  readonly joining?: { readonly from: number; readonly at: number };
  /** Retries that are sent in this time arrive at its end, those of other times at once. */
  readonly held?: { readonly from: number; readonly to: number };
  readonly limits: RetryLimits;
  readonly random: Random;
  createBudget(process: SimulatedProcess): SimulatedBudget;
}

const RESTART_MILLISECONDS = 500;
/** Time after which an entry that is no longer heard is forgotten. */
const MEMORY_MILLISECONDS = 30_000;
const DISCOVERY_MILLISECONDS = 300;
/** Retries that one failing request wants. */
const WANTED_RETRIES = 2;
const MOVING_MILLISECONDS = 3000;

interface Life {
  readonly startedAt: number;
  readonly heardAt: Map<number, number>;
  readonly budget: SimulatedBudget;
}

/** Window in which the retries of all entries exceed the budget most. */
export function simulateRetries(simulation: RetrySimulation): RetryWindow | undefined {
  const { entries, limits, random } = simulation;
  const requestedAt: number[] = [];
  const retriedAt: number[] = [];
  const lives = new Map<number, Life>();
  const startsAt = new Map<number, number>();
  const draining: { readonly entry: number; readonly until: number; readonly life: Life }[] = [];
  const kills = [...simulation.kills].sort((left, right) => left.at - right.at);
  let now = 0;

  function sideOf(entry: number): number {
    const cut = simulation.cuts.find(({ from, to }) => now >= from && now < to);
    return cut === undefined ? 0 : entry % cut.sides;
  }

  function hear(own: number, { startedAt, heardAt }: Life): void {
    if (now - startedAt < DISCOVERY_MILLISECONDS) return;
    for (const [other, life] of lives) {
      if (other === own || now - life.startedAt < DISCOVERY_MILLISECONDS) continue;
      if (sideOf(other) === sideOf(own)) heardAt.set(other, now);
    }
    for (const [other, at] of heardAt) if (now - at > MEMORY_MILLISECONDS) heardAt.delete(other);
  }

  function start(entry: number): void {
    const heardAt = new Map<number, number>();
    const startedAt = now;
    const budget = simulation.createBudget({
      knownEntries: () => heardAt.size + 1,
      startedAt,
      now: () => now,
    });
    lives.set(entry, { startedAt, heardAt, budget });
  }

  function receivingEntry(): number {
    switch (simulation.traffic) {
      case Traffic.Even:
        return Math.floor(random() * entries);
      case Traffic.Single:
        return 0;
      case Traffic.Moving:
        return Math.floor(now / MOVING_MILLISECONDS) % entries;
      default: {
        const unreachable: never = simulation.traffic;
        return unreachable;
      }
    }
  }

  function arrivalTime(): number {
    const { held } = simulation;
    return held !== undefined && now >= held.from && now < held.to ? held.to : now;
  }

  /** Requests go to the process that drains and to the one that follows it by turns. */
  function servingLife(entry: number): Life | undefined {
    const former = draining.findLast((one) => one.entry === entry && one.until > now);
    const current = lives.get(entry);
    if (former === undefined) return current;
    return current === undefined || random() < 0.5 ? former.life : current;
  }

  for (let entry = 0; entry < entries; entry += 1) {
    const { joining } = simulation;
    const isJoining = joining !== undefined && entry >= joining.from;
    startsAt.set(entry, isJoining ? joining.at : 0);
  }
  while (now < simulation.milliseconds) {
    for (let kill = kills[0]; kill !== undefined && kill.at <= now; [kill] = kills) {
      kills.shift();
      const { entry } = kill;
      const ended = lives.get(entry);
      if (ended === undefined) continue;
      draining.push({ entry, until: now + (simulation.overlapMilliseconds ?? 0), life: ended });
      lives.delete(entry);
      startsAt.set(entry, now + RESTART_MILLISECONDS);
    }
    for (const [entry, at] of startsAt) {
      if (at > now) continue;
      startsAt.delete(entry);
      start(entry);
    }
    for (const [entry, life] of lives) hear(entry, life);
    requestedAt.push(now);
    const life = servingLife(receivingEntry());
    life?.budget.recordRequest();
    if (life !== undefined && now >= simulation.failingFrom) {
      for (let retry = 0; retry < WANTED_RETRIES; retry += 1) {
        if (life.budget.trySpend()) retriedAt.push(arrivalTime());
      }
    }
    now += (2000 / simulation.requestsPerSecond) * random();
  }
  retriedAt.sort((left, right) => left - right);
  return findWorstRetryWindow(requestedAt, retriedAt, limits);
}
