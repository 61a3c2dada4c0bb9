/**
 * Plays callers against the decisions on streams while a lock-step group stands still and after it
 * is back, in simulated time, for tests: what each caller gets is counted, so that a change of the
 * decisions can be judged without a network. Callers stay for two seconds without an event, come
 * back once after a refusal, and wait as told up to a third of the time they have left.
 */
import { createRandom } from '@lapisbridge/kernel';
import type { Random } from '@lapisbridge/kernel';

import { createOutageForecast } from './outage-forecast.js';
import { canOffer, planCrowdWait } from './plan-offer.js';
import { planPriority, urgencyOf } from './plan-priority.js';
import { planRetryAfter, RefusalCause } from './plan-retry-after.js';
import { callerPatience, FIRST_EVENT_MILLISECONDS, planWait } from './plan-wait.js';
import { arrive, comeBack, PlayedEnd } from './played-caller.js';
import type { PlayedCaller } from './played-caller.js';
import { STREAM_ROUTE } from './stream-route-fixture.js';

export interface Outage {
  readonly seed: number;
  /** Callers a second. */
  readonly rate: number;
  /** Slots of all servers together. */
  readonly slots: number;
  /** How long the group stands still, in milliseconds. */
  readonly milliseconds: number;
  /** How long outages lasted that the entry has seen before, in milliseconds. */
  readonly seen?: readonly number[];
  /** Every stream is offered at once and served in the order of arrival: what the decisions are judged by. */
  readonly isFirstComeFirstServed?: boolean;
}

/** Numbers of callers. */
export interface OutageTally {
  asked: number;
  readonly ends: Record<PlayedEnd, number>;
  /**
   * Lost callers that could have been reached: told at once to come back as late as they do, they
   * would still have been there when the group was back.
   */
  missed: number;
}

const BREAK_AT = 5000;
/** Engines tell of the break only when their own stall has run out. */
const STALL_MILLISECONDS = 1500;
const LOAD_MILLISECONDS = 20_000;
const END_MILLISECONDS = 45_000;
const STEP_MILLISECONDS = 10;
const READ_MILLISECONDS = 160;
const STREAM_MILLISECONDS = 1250;
/** Passes take so many times as long until a balanced map is in force. */
const FIRST_MAP_FACTOR = 2.5;
const FIRST_MAP_MILLISECONDS = 500;
/** A caller with less time left than this share has been refused before. */
const RETURN_SHARE = 0.85;
/** Callers wait no longer than this share of the time they have left. */
const LONGEST_RETURN_SHARE = 1 / 3;
const DEADLINE = STREAM_ROUTE.timeoutMilliseconds;

export function emptyTally(): OutageTally {
  return {
    asked: 0,
    ends: {
      [PlayedEnd.InTime]: 0,
      [PlayedEnd.Late]: 0,
      [PlayedEnd.RefusedAgain]: 0,
      [PlayedEnd.KeptInVain]: 0,
      [PlayedEnd.CutOff]: 0,
    },
    missed: 0,
  };
}

function isLost(end: PlayedEnd): boolean {
  return end !== PlayedEnd.InTime && end !== PlayedEnd.Late;
}

export function lostOf({ ends }: OutageTally): number {
  return ends[PlayedEnd.RefusedAgain] + ends[PlayedEnd.KeptInVain] + ends[PlayedEnd.CutOff];
}

export function playOutage(outage: Outage): OutageTally {
  const { seed, rate, slots, milliseconds, seen = [], isFirstComeFirstServed = false } = outage;
  const random: Random = createRandom(seed);
  const tally = emptyTally();
  const forecast = createOutageForecast();
  for (const length of seen) forecast.note(length);
  const backAt = BREAK_AT + milliseconds;
  const knownAt = BREAK_AT + STALL_MILLISECONDS;
  let callers: PlayedCaller[] = [];
  let queue: PlayedCaller[] = [];
  let nextArrival = 0;

  const patience = callerPatience(STREAM_ROUTE);
  const reachableFrom =
    backAt - DEADLINE * LONGEST_RETURN_SHARE - (patience - FIRST_EVENT_MILLISECONDS);

  function finish(caller: PlayedCaller, end: PlayedEnd): void {
    caller.isOver = true;
    tally.ends[end] += 1;
    if (isLost(end) && !caller.wasCut && caller.firstAt >= reachableFrom) tally.missed += 1;
  }

  function refuse(caller: PlayedCaller, cause: RefusalCause, now: number): void {
    if (caller.isRetry) {
      finish(caller, PlayedEnd.RefusedAgain);
      return;
    }
    const retryAfter = planRetryAfter({
      cause,
      remainingMilliseconds: caller.firstAt + DEADLINE - now,
      random: random(),
      likelyMilliseconds:
        cause === RefusalCause.GroupBroken ? forecast.likelyWithin(now - knownAt) : undefined,
    });
    comeBack(caller, now + retryAfter);
  }

  /** The entry decides on a caller that is at no server. */
  function decide(caller: PlayedCaller, now: number): void {
    const remainingMilliseconds = caller.firstAt + DEADLINE - now;
    const situation = {
      route: STREAM_ROUTE,
      isRetry: remainingMilliseconds < DEADLINE * RETURN_SHARE && caller.isRetry,
      idleMilliseconds: now - caller.attemptAt,
      remainingMilliseconds,
      hasBegun: false,
      isMoved: false,
    };
    if (now >= knownAt && now < backAt) {
      const wait = planWait({
        ...situation,
        chanceOfReturn: (within) => forecast.chanceWithin(now - knownAt, within),
      });
      if (wait === 0) refuse(caller, RefusalCause.GroupBroken, now);
      else caller.nextAt = Math.min(now + wait, backAt);
      return;
    }
    const running = callers.filter(({ left }) => left !== undefined).length;
    const expectedStreams = running + queue.length;
    if (
      isFirstComeFirstServed ||
      canOffer({ ...situation, slots, expectedStreams, typicalMilliseconds: 0, reportAge: 100 })
    ) {
      caller.queuedAt = now;
      if (!isFirstComeFirstServed) {
        caller.priority = planPriority(STREAM_ROUTE.priority, urgencyOf(situation));
      }
      queue.push(caller);
      return;
    }
    const wait = planCrowdWait(situation);
    if (wait === 0) refuse(caller, RefusalCause.Crowded, now);
    else caller.nextAt = now + wait;
  }

  function breakGroup(): void {
    for (const caller of callers) {
      if (caller.isOver || caller.queuedAt === undefined) continue;
      caller.wasCut = caller.hasEvent;
      if (caller.hasEvent && caller.isRetry) finish(caller, PlayedEnd.CutOff);
      else if (caller.hasEvent) comeBack(caller, knownAt);
      else caller.nextAt = knownAt;
      caller.queuedAt = undefined;
      caller.left = undefined;
    }
    queue = [];
  }

  function serve(now: number): void {
    if (now >= BREAK_AT && now < backAt) return;
    const isSlow = now >= backAt && now < backAt + FIRST_MAP_MILLISECONDS;
    const done = STEP_MILLISECONDS / (isSlow ? FIRST_MAP_FACTOR : 1);
    let running = 0;
    for (const caller of callers) {
      if (caller.isOver || caller.left === undefined) continue;
      running += 1;
      caller.left -= done;
      if (!caller.hasEvent && caller.left <= caller.work) {
        caller.hasEvent = true;
        const waited = now - caller.firstAt;
        caller.isOnTime = waited <= STREAM_ROUTE.latencyObjectiveMilliseconds && !isSlow;
      }
      if (caller.left <= 0) {
        finish(caller, caller.isOnTime ? PlayedEnd.InTime : PlayedEnd.Late);
        running -= 1;
      }
    }
    queue.sort((left, right) => left.priority - right.priority);
    while (running < slots) {
      const caller = queue.shift();
      if (caller === undefined) break;
      if (caller.isOver) continue;
      caller.left = caller.work + READ_MILLISECONDS;
      running += 1;
    }
  }

  function leave(now: number): void {
    for (const caller of callers) {
      if (caller.isOver || now < caller.attemptAt) continue;
      if (now - caller.firstAt >= DEADLINE)
        finish(caller, caller.hasEvent ? PlayedEnd.CutOff : PlayedEnd.KeptInVain);
      else if (!caller.hasEvent && now - caller.attemptAt >= patience) {
        if (caller.isRetry) finish(caller, PlayedEnd.KeptInVain);
        else comeBack(caller, now);
      }
    }
  }

  for (let now = 0; now < END_MILLISECONDS; now += STEP_MILLISECONDS) {
    while (nextArrival <= now && now < LOAD_MILLISECONDS) {
      tally.asked += 1;
      callers.push(arrive(now, STREAM_MILLISECONDS * (0.4 + 1.2 * random())));
      nextArrival += (-Math.log(1 - random()) * 1000) / rate;
    }
    if (now === BREAK_AT) breakGroup();
    // What is sent while the break is not known stalls until the engines tell.
    const isUnknown = now >= BREAK_AT && now < knownAt;
    for (const caller of callers) {
      if (caller.isOver || caller.queuedAt !== undefined || caller.nextAt > now) continue;
      if (isUnknown) caller.nextAt = knownAt;
      else decide(caller, now);
    }
    serve(now);
    leave(now);
    callers = callers.filter(({ isOver }) => !isOver);
  }
  return tally;
}
