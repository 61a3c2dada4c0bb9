/**
 * Plays many entries against one backend server that states a rate limit, in simulated time, for
 * tests: entries learn the limit from their own answers and from each other, some time later.
 */
import { createRandom, pickSome } from '@lapisbridge/kernel';
import { createSilentLogger } from '@lapisbridge/logger';
import { rendezvousOrder } from '@lapisbridge/routing';

import { RateLimitKind } from './caller-protocol.js';
import type { ResponseHead } from './caller-protocol.js';
import { headWith } from './head-fixture.js';
import { createServerRateLimits } from './server-rate-limits.js';
import type { RateLimitStatement, ServerRateLimits } from './server-rate-limits.js';

export interface RateLimitPlay {
  readonly seed: number;
  readonly entries: number;
  /** Entries that may send to the server; all of them without it. */
  readonly senders?: number;
  /** Stated by the server from `LIMITED_FROM` on. */
  readonly requestsPerSecond: number;
  /** Requests a second that would go to the server without the limit. */
  readonly demand: number;
  /** When the demand is back after a pause, in milliseconds; there is no pause without it. */
  readonly pausedUntil?: number;
  /** When the server states no limit any more, in milliseconds. */
  readonly liftedAt?: number;
  /** Share of the entries that get no requests. */
  readonly idleShare?: number;
  /** Share of the messages between entries that are lost. */
  readonly lossShare?: number;
  /** Share of the other entries that an entry knows by name. */
  readonly knownShare?: number;
}

export interface RateLimitTally {
  /** Most requests in a window, less what the bound allows; above 0 the bound is broken. */
  readonly excess: number;
  /** Requests that arrived in the last ten seconds of the limit, a second. */
  readonly used: number;
  /** Milliseconds from the end of the limit until half of the entries know of it. */
  readonly liftKnownAfter: number;
}

export const LIMITED_FROM = 1000;
const PLAY_MILLISECONDS = 40_000;
const PAUSED_FROM = 6000;
const SERVER = 'server';
const STEP_MILLISECONDS = 20;
const DIGEST_MILLISECONDS = 500;
/** Entries that are told at a time. */
const TOLD_ENTRIES = 10;
const LONGEST_RELAY_MILLISECONDS = 400;
const LONGEST_ANSWER_MILLISECONDS = 1200;
/** The users' rule: from this time on the bound holds for every window. */
const CONTACT_MILLISECONDS = 3000;
const WINDOW_MILLISECONDS = 4000;
const OVERSHOOT = 1.5;
const SLACK_REQUESTS = 5;
const MEASURED_MILLISECONDS = 10_000;

interface Delivery {
  readonly at: number;
  run(): void;
}

function headStating(requestsPerSecond: number | undefined): ResponseHead {
  if (requestsPerSecond === undefined) return headWith();
  return headWith({ rateLimit: { kind: RateLimitKind.Stated, requestsPerSecond } });
}

function worstExcess(arrivals: readonly number[], allowed: number): number {
  let excess = -Infinity;
  let first = 0;
  for (const [index, at] of arrivals.entries()) {
    while ((arrivals[first] ?? at) < at - WINDOW_MILLISECONDS) first += 1;
    if (at < LIMITED_FROM + CONTACT_MILLISECONDS) continue;
    excess = Math.max(excess, index - first + 1 - allowed);
  }
  return excess;
}

export function playRateLimit(play: RateLimitPlay): RateLimitTally {
  const { requestsPerSecond, demand, pausedUntil = 0, liftedAt = PLAY_MILLISECONDS } = play;
  const random = createRandom(play.seed);
  const names = Array.from({ length: play.entries }, (_, index) => `entry-${index}`);
  const senders = play.senders ?? play.entries;
  const idle = Math.floor(senders * (play.idleShare ?? 0));
  const demanding = new Set(
    pickSome(rendezvousOrder(SERVER, names).slice(0, senders), senders - idle, random),
  );
  let now = 0;
  let deliveries: Delivery[] = [];
  const arrivals: number[] = [];
  let liftKnownAfter = Infinity;

  const entries: ServerRateLimits[] = names.map((own) => {
    const others = names.filter((name) => name !== own);
    const count = Math.round(others.length * (play.knownShare ?? 1));
    const view = { own, names: [own, ...pickSome(others, count, random)], count: names.length };
    return createServerRateLimits({
      logger: createSilentLogger(),
      entries: () => view,
      onChange: () => undefined,
      now: () => now,
    });
  });

  function limitNow(): number | undefined {
    return now >= LIMITED_FROM && now < liftedAt ? requestsPerSecond : undefined;
  }

  function later(milliseconds: number, run: () => void): void {
    deliveries.push({ at: now + milliseconds, run });
  }

  function tell(from: ServerRateLimits): void {
    const statements: RateLimitStatement[] = from.statements();
    if (statements.length === 0) return;
    for (const to of pickSome(entries, TOLD_ENTRIES, random)) {
      if (to === from || random() < (play.lossShare ?? 0)) continue;
      const delay = LONGEST_RELAY_MILLISECONDS * random();
      later(delay, () => to.onTold(statements));
    }
  }

  function send(entry: ServerRateLimits): void {
    entry.noteSent(SERVER);
    const sentAt = now;
    if (limitNow() !== undefined && entry.limitOf(SERVER) !== undefined) arrivals.push(now);
    later(LONGEST_ANSWER_MILLISECONDS * random(), () => {
      const head = headStating(limitNow());
      entry.onAnswer({ instanceId: SERVER, head, sentAt });
    });
  }

  function deliver(): void {
    const due = deliveries.filter(({ at }) => at <= now);
    deliveries = deliveries.filter(({ at }) => at > now);
    for (const { run } of due) run();
  }

  const demandPerStep = (demand * STEP_MILLISECONDS) / 1000 / demanding.size;

  function step(): void {
    deliver();
    for (const [index, entry] of entries.entries()) {
      if ((now + index * STEP_MILLISECONDS) % DIGEST_MILLISECONDS < STEP_MILLISECONDS) tell(entry);
      const isPaused = now > PAUSED_FROM && now < pausedUntil;
      if (!demanding.has(names[index] ?? '') || isPaused || random() >= demandPerStep) continue;
      if (entry.roomIn(SERVER, senders) === 0) send(entry);
    }
    if (now < liftedAt || liftKnownAfter !== Infinity) return;
    const aware = entries.filter((entry) => entry.limitOf(SERVER) === undefined);
    if (aware.length >= entries.length / 2) liftKnownAfter = now - liftedAt;
  }

  for (; now < PLAY_MILLISECONDS; now += STEP_MILLISECONDS) step();

  const allowed = (OVERSHOOT * requestsPerSecond * WINDOW_MILLISECONDS) / 1000 + SLACK_REQUESTS;
  const measuredFrom = Math.min(liftedAt, PLAY_MILLISECONDS) - MEASURED_MILLISECONDS;
  const measured = arrivals.filter((at) => at >= measuredFrom).length;
  return {
    excess: worstExcess(arrivals, allowed),
    used: measured / (MEASURED_MILLISECONDS / 1000),
    liftKnownAfter,
  };
}
