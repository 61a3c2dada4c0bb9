/**
 * Discrete-time simulation of callers, and of the decisions on their streams, while a lock-step
 * group is stopped and after it has recovered, for tests. It counts what each caller gets, so that
 * a change of the decisions can be evaluated without a network. Callers wait for two seconds
 * without an event, retry once after a refusal, and wait as told up to a third of the time they
 * have left.
 */
import { createRandom } from '@lapisbridge/kernel';
import type { Random } from '@lapisbridge/kernel';

import { createOutageForecast } from './outage-forecast.js';
import { canAdmitStream, planRecheckDelay } from './plan-queue-admission.js';
import { planPriority, urgencyOf } from './plan-priority.js';
import { planRetryAfter, RefusalCause } from './plan-retry-after.js';
import {
  callerPatienceMilliseconds,
  FIRST_EVENT_MILLISECONDS,
  planGroupWait,
} from './plan-wait.js';
import { createSimulatedCaller, scheduleRetry, CallerEnd } from './simulated-caller.js';
import type { SimulatedCaller } from './simulated-caller.js';
import { STREAM_ROUTE } from './stream-route-fixture.js';

export interface OutageScenario {
  readonly seed: number;
  /** Arrival rate of callers. */
  readonly callersPerSecond: number;
  /** Total number of slots of all servers. */
  readonly slots: number;
  /** Duration of the outage. */
  readonly durationMilliseconds: number;
  /** Durations of the outages that the entry has recorded before. */
  readonly pastOutagesMilliseconds?: readonly number[];
  /** Baseline for the decisions: every stream is sent at once and served in order of arrival. */
  readonly isFirstComeFirstServed?: boolean;
}

/** Numbers of callers. */
export interface OutageResult {
  asked: number;
  readonly ends: Record<CallerEnd, number>;
  /**
   * Lost callers that could have been served: told at once to retry as late as callers do, they
   * would still have been waiting when the group recovered.
   */
  avoidablyLost: number;
}

const BREAK_AT_MILLISECONDS = 5000;
/** Engines report the failure only after their own stall timeout. */
const DETECTION_MILLISECONDS = 1500;
const ARRIVALS_END_MILLISECONDS = 20_000;
const END_MILLISECONDS = 45_000;
const STEP_MILLISECONDS = 10;
const PREFILL_MILLISECONDS = 160;
const MEAN_STREAM_MILLISECONDS = 1250;
/** Factor by which passes are slower until a balanced map is in force. */
const UNBALANCED_MAP_FACTOR = 2.5;
const UNBALANCED_MAP_MILLISECONDS = 500;
/** A caller with less than this share of its time left has been refused before. */
const RETRY_REMAINING_SHARE = 0.85;
/** Callers wait no longer than this share of the time they have left. */
const MAXIMUM_RETRY_AFTER_SHARE = 1 / 3;
const DEADLINE_MILLISECONDS = STREAM_ROUTE.timeoutMilliseconds;

export function emptyResult(): OutageResult {
  return {
    asked: 0,
    ends: {
      [CallerEnd.InTime]: 0,
      [CallerEnd.Late]: 0,
      [CallerEnd.RefusedAgain]: 0,
      [CallerEnd.TimedOut]: 0,
      [CallerEnd.CutOff]: 0,
    },
    avoidablyLost: 0,
  };
}

function isLost(end: CallerEnd): boolean {
  return end !== CallerEnd.InTime && end !== CallerEnd.Late;
}

export function countLost({ ends }: OutageResult): number {
  return ends[CallerEnd.RefusedAgain] + ends[CallerEnd.TimedOut] + ends[CallerEnd.CutOff];
}

export function simulateOutage(outage: OutageScenario): OutageResult {
  const {
    seed,
    callersPerSecond,
    slots,
    durationMilliseconds,
    pastOutagesMilliseconds = [],
    isFirstComeFirstServed = false,
  } = outage;
  const random: Random = createRandom(seed);
  const result = emptyResult();
  const forecast = createOutageForecast();
  for (const length of pastOutagesMilliseconds) forecast.recordOutage(length);
  const recoveredAt = BREAK_AT_MILLISECONDS + durationMilliseconds;
  const detectedAt = BREAK_AT_MILLISECONDS + DETECTION_MILLISECONDS;
  let callers: SimulatedCaller[] = [];
  let queue: SimulatedCaller[] = [];
  let nextArrival = 0;

  const patience = callerPatienceMilliseconds(STREAM_ROUTE);
  const reachableFrom =
    recoveredAt -
    DEADLINE_MILLISECONDS * MAXIMUM_RETRY_AFTER_SHARE -
    (patience - FIRST_EVENT_MILLISECONDS);

  function finish(caller: SimulatedCaller, end: CallerEnd): void {
    caller.isOver = true;
    result.ends[end] += 1;
    if (isLost(end) && !caller.wasInterrupted && caller.firstAt >= reachableFrom)
      result.avoidablyLost += 1;
  }

  function refuse(caller: SimulatedCaller, cause: RefusalCause, now: number): void {
    if (caller.isRetry) {
      finish(caller, CallerEnd.RefusedAgain);
      return;
    }
    const retryAfter = planRetryAfter({
      cause,
      remainingMilliseconds: caller.firstAt + DEADLINE_MILLISECONDS - now,
      random: random(),
      likelyMilliseconds:
        cause === RefusalCause.GroupBroken
          ? forecast.likelyEndMilliseconds(now - detectedAt)
          : undefined,
    });
    scheduleRetry(caller, now + retryAfter);
  }

  /** Decision of the entry on a caller that is not at any server. */
  function decide(caller: SimulatedCaller, now: number): void {
    const remainingMilliseconds = caller.firstAt + DEADLINE_MILLISECONDS - now;
    const situation = {
      route: STREAM_ROUTE,
      isRetry:
        remainingMilliseconds < DEADLINE_MILLISECONDS * RETRY_REMAINING_SHARE && caller.isRetry,
      idleMilliseconds: now - caller.attemptAt,
      remainingMilliseconds,
      hasBegun: false,
      isMoved: false,
    };
    if (now >= detectedAt && now < recoveredAt) {
      const wait = planGroupWait({
        ...situation,
        chanceOfReturn: (within) => forecast.chanceOfEnd(now - detectedAt, within),
      });
      if (wait === 0) refuse(caller, RefusalCause.GroupBroken, now);
      else caller.nextAt = Math.min(now + wait, recoveredAt);
      return;
    }
    const running = callers.filter(
      ({ remainingServiceMilliseconds: left }) => left !== undefined,
    ).length;
    const expectedStreams = running + queue.length;
    if (
      isFirstComeFirstServed ||
      canAdmitStream({
        ...situation,
        slots,
        expectedStreams,
        typicalMilliseconds: 0,
        reportAge: 100,
      })
    ) {
      caller.queuedAt = now;
      if (!isFirstComeFirstServed) {
        caller.priority = planPriority(STREAM_ROUTE.priority, urgencyOf(situation));
      }
      queue.push(caller);
      return;
    }
    const wait = planRecheckDelay(situation);
    if (wait === 0) refuse(caller, RefusalCause.Crowded, now);
    else caller.nextAt = now + wait;
  }

  function breakGroup(): void {
    for (const caller of callers) {
      if (caller.isOver || caller.queuedAt === undefined) continue;
      caller.wasInterrupted = caller.hasEvent;
      if (caller.hasEvent && caller.isRetry) finish(caller, CallerEnd.CutOff);
      else if (caller.hasEvent) scheduleRetry(caller, detectedAt);
      else caller.nextAt = detectedAt;
      caller.queuedAt = undefined;
      caller.remainingServiceMilliseconds = undefined;
    }
    queue = [];
  }

  function advanceServers(now: number): void {
    if (now >= BREAK_AT_MILLISECONDS && now < recoveredAt) return;
    const isSlow = now >= recoveredAt && now < recoveredAt + UNBALANCED_MAP_MILLISECONDS;
    const done = STEP_MILLISECONDS / (isSlow ? UNBALANCED_MAP_FACTOR : 1);
    let running = 0;
    for (const caller of callers) {
      if (caller.isOver || caller.remainingServiceMilliseconds === undefined) continue;
      running += 1;
      caller.remainingServiceMilliseconds -= done;
      if (!caller.hasEvent && caller.remainingServiceMilliseconds <= caller.serviceMilliseconds) {
        caller.hasEvent = true;
        const waited = now - caller.firstAt;
        caller.isOnTime = waited <= STREAM_ROUTE.latencyObjectiveMilliseconds && !isSlow;
      }
      if (caller.remainingServiceMilliseconds <= 0) {
        finish(caller, caller.isOnTime ? CallerEnd.InTime : CallerEnd.Late);
        running -= 1;
      }
    }
    queue.sort((left, right) => left.priority - right.priority);
    while (running < slots) {
      const caller = queue.shift();
      if (caller === undefined) break;
      if (caller.isOver) continue;
      caller.remainingServiceMilliseconds = caller.serviceMilliseconds + PREFILL_MILLISECONDS;
      running += 1;
    }
  }

  function expireCallers(now: number): void {
    for (const caller of callers) {
      if (caller.isOver || now < caller.attemptAt) continue;
      if (now - caller.firstAt >= DEADLINE_MILLISECONDS)
        finish(caller, caller.hasEvent ? CallerEnd.CutOff : CallerEnd.TimedOut);
      else if (!caller.hasEvent && now - caller.attemptAt >= patience) {
        if (caller.isRetry) finish(caller, CallerEnd.TimedOut);
        else scheduleRetry(caller, now);
      }
    }
  }

  for (let now = 0; now < END_MILLISECONDS; now += STEP_MILLISECONDS) {
    while (nextArrival <= now && now < ARRIVALS_END_MILLISECONDS) {
      result.asked += 1;
      callers.push(createSimulatedCaller(now, MEAN_STREAM_MILLISECONDS * (0.4 + 1.2 * random())));
      nextArrival += (-Math.log(1 - random()) * 1000) / callersPerSecond;
    }
    if (now === BREAK_AT_MILLISECONDS) breakGroup();
    // Requests sent before the failure is detected stall until the engines report it.
    const isUndetected = now >= BREAK_AT_MILLISECONDS && now < detectedAt;
    for (const caller of callers) {
      if (caller.isOver || caller.queuedAt !== undefined || caller.nextAt > now) continue;
      if (isUndetected) caller.nextAt = detectedAt;
      else decide(caller, now);
    }
    advanceServers(now);
    expireCallers(now);
    callers = callers.filter(({ isOver }) => !isOver);
  }
  return result;
}
