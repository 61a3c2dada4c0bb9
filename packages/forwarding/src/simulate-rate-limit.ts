/**
 * Discrete-time simulation of many entries that send to one backend server with a rate limit, for
 * tests. Entries learn the limit from answers to their own requests and, after a delay, from each
 * other.
 */
import { createRandom, pickSome } from '@lapisbridge/kernel';
import { createSilentLogger } from '@lapisbridge/logger';
import { rendezvousOrder } from '@lapisbridge/routing';

import { RateLimitKind } from './caller-protocol.js';
import type { ResponseHead } from './caller-protocol.js';
import { headWith } from './head-fixture.js';
import { createServerRateLimits } from './server-rate-limits.js';
import type { RateLimitStatement, ServerRateLimits } from './server-rate-limits.js';

export interface RateLimitScenario {
  readonly seed: number;
  readonly entries: number;
  /** Entries that may send to the server; all of them if absent. */
  readonly senders?: number;
  /** Stated by the server from `LIMITED_FROM_MILLISECONDS` on. */
  readonly requestsPerSecond: number;
  /** Requests per second that would be sent to the server without the limit. */
  readonly demand: number;
  /** When demand resumes after a pause, in milliseconds; no pause if absent. */
  readonly pausedUntil?: number;
  /** When the server stops stating a limit, in milliseconds. */
  readonly liftedAt?: number;
  /** Interval at which all entries restart and lose their state; never if absent. */
  readonly restartIntervalMilliseconds?: number;
  /** Share of the entries that get no requests. */
  readonly idleShare?: number;
  /** Share of the messages between entries that are lost. */
  readonly lossShare?: number;
  /** Share of the other entries that an entry knows by name. */
  readonly knownShare?: number;
}

export interface RateLimitResult {
  /**
   * Largest number of requests in a window minus the allowed number; above 0 the limit is violated.
   */
  readonly excess: number;
  /** Requests per second that arrived in the last ten seconds of the limit. */
  readonly usedPerSecond: number;
  /** Milliseconds from the end of the limit until half of the entries know of it. */
  readonly liftKnownAfterMilliseconds: number;
}

export const LIMITED_FROM_MILLISECONDS = 1000;
const SIMULATED_MILLISECONDS = 40_000;
const PAUSED_FROM_MILLISECONDS = 6000;
const SERVER = 'server';
const STEP_MILLISECONDS = 20;
const GOSSIP_INTERVAL_MILLISECONDS = 500;
/** Entries to which each set of statements is sent. */
const GOSSIP_FANOUT = 10;
const MAXIMUM_GOSSIP_DELAY_MILLISECONDS = 400;
const MAXIMUM_ANSWER_MILLISECONDS = 1200;
/**
 * Required by the users: from this time after the start of the limit on, it holds for every window.
 */
const GRACE_MILLISECONDS = 3000;
const WINDOW_MILLISECONDS = 4000;
const TOLERATED_FACTOR = 1.5;
const TOLERATED_REQUESTS = 5;
const MEASURED_MILLISECONDS = 10_000;

interface Delivery {
  readonly at: number;
  run(): void;
}

function headWithLimit(requestsPerSecond: number | undefined): ResponseHead {
  if (requestsPerSecond === undefined) return headWith();
  return headWith({ rateLimit: { kind: RateLimitKind.Stated, requestsPerSecond } });
}

function worstExcess(arrivals: readonly number[], allowed: number): number {
  let excess = -Infinity;
  let first = 0;
  for (const [index, at] of arrivals.entries()) {
    while ((arrivals[first] ?? at) < at - WINDOW_MILLISECONDS) first += 1;
    if (at < LIMITED_FROM_MILLISECONDS + GRACE_MILLISECONDS) continue;
    excess = Math.max(excess, index - first + 1 - allowed);
  }
  return excess;
}

export function simulateRateLimit(scenario: RateLimitScenario): RateLimitResult {
  const {
    requestsPerSecond,
    demand,
    pausedUntil = 0,
    liftedAt = SIMULATED_MILLISECONDS,
  } = scenario;
  const random = createRandom(scenario.seed);
  const names = Array.from({ length: scenario.entries }, (_, index) => `entry-${index}`);
  const senders = scenario.senders ?? scenario.entries;
  const idle = Math.floor(senders * (scenario.idleShare ?? 0));
  const sendingNames = new Set(
    pickSome(rendezvousOrder(SERVER, names).slice(0, senders), senders - idle, random),
  );
  let now = 0;
  let deliveries: Delivery[] = [];
  const arrivals: number[] = [];
  let liftKnownAfterMilliseconds = Infinity;

  function startEntry(own: string): ServerRateLimits {
    const others = names.filter((name) => name !== own);
    const count = Math.round(others.length * (scenario.knownShare ?? 1));
    const view = { own, names: [own, ...pickSome(others, count, random)], count: names.length };
    return createServerRateLimits({
      logger: createSilentLogger(),
      entries: () => view,
      onChange: () => undefined,
      now: () => now,
    });
  }

  const entries = names.map(startEntry);

  function restartIfDue(): void {
    const interval = scenario.restartIntervalMilliseconds;
    if (interval === undefined || now === 0 || now % interval >= STEP_MILLISECONDS) return;
    for (const [index, own] of names.entries()) entries[index] = startEntry(own);
  }

  function limitNow(): number | undefined {
    return now >= LIMITED_FROM_MILLISECONDS && now < liftedAt ? requestsPerSecond : undefined;
  }

  function schedule(milliseconds: number, run: () => void): void {
    deliveries.push({ at: now + milliseconds, run });
  }

  function gossip(from: ServerRateLimits): void {
    const statements: RateLimitStatement[] = from.statements();
    if (statements.length === 0) return;
    for (const to of pickSome(entries, GOSSIP_FANOUT, random)) {
      if (to === from || random() < (scenario.lossShare ?? 0)) continue;
      const delay = MAXIMUM_GOSSIP_DELAY_MILLISECONDS * random();
      schedule(delay, () => to.onPeerStatements(statements));
    }
  }

  function send(entry: ServerRateLimits): void {
    entry.recordSent(SERVER);
    const sentAt = now;
    if (limitNow() !== undefined && entry.limitOf(SERVER) !== undefined) arrivals.push(now);
    schedule(MAXIMUM_ANSWER_MILLISECONDS * random(), () => {
      const head = headWithLimit(limitNow());
      entry.onAnswer({ instanceId: SERVER, head, sentAt });
    });
  }

  function deliver(): void {
    const due = deliveries.filter(({ at }) => at <= now);
    deliveries = deliveries.filter(({ at }) => at > now);
    for (const { run } of due) run();
  }

  const demandPerStep = (demand * STEP_MILLISECONDS) / 1000 / sendingNames.size;

  function step(): void {
    restartIfDue();
    deliver();
    for (const [index, entry] of entries.entries()) {
      if ((now + index * STEP_MILLISECONDS) % GOSSIP_INTERVAL_MILLISECONDS < STEP_MILLISECONDS)
        gossip(entry);
      const isPaused = now > PAUSED_FROM_MILLISECONDS && now < pausedUntil;
      if (!sendingNames.has(names[index] ?? '') || isPaused || random() >= demandPerStep) continue;
      if (entry.roomInMilliseconds(SERVER, senders) === 0) send(entry);
    }
    if (now < liftedAt || liftKnownAfterMilliseconds !== Infinity) return;
    const aware = entries.filter((entry) => entry.limitOf(SERVER) === undefined);
    if (aware.length >= entries.length / 2) liftKnownAfterMilliseconds = now - liftedAt;
  }

  for (; now < SIMULATED_MILLISECONDS; now += STEP_MILLISECONDS) step();

  const allowed =
    (TOLERATED_FACTOR * requestsPerSecond * WINDOW_MILLISECONDS) / 1000 + TOLERATED_REQUESTS;
  const measuredFrom = Math.min(liftedAt, SIMULATED_MILLISECONDS) - MEASURED_MILLISECONDS;
  const measured = arrivals.filter((at) => at >= measuredFrom).length;
  return {
    excess: worstExcess(arrivals, allowed),
    usedPerSecond: measured / (MEASURED_MILLISECONDS / 1000),
    liftKnownAfterMilliseconds,
  };
}
