/**
 * Accounts for the bodies of requests that a process holds, and pauses or refuses those that would
 * exceed the budget. Every byte is counted from its arrival until its request has ended.
 */
import type { ClientLimits } from './plan-client-limits.js';
import {
  BodyStage,
  planBodyRelief,
  SMALL_BODY_BYTES,
  STALLED_MILLISECONDS,
} from './plan-eviction.js';
import type { BudgetedBody } from './plan-eviction.js';
import { LimitCause } from './pressure-log.js';
import type { PressureLog } from './pressure-log.js';

/** How the reader of a body is controlled. */
export interface BodyControl {
  /** Stops reading the connection until `resume` is called. */
  pause(): void;
  resume(): void;
  /** Refuses the request while its body is incomplete. */
  refuse(): void;
  /** Its client no longer waits for a response. */
  expire(): void;
}

export interface BodyExpectation {
  /** Size that the body may have. */
  readonly expectedBytes: number;
  /** When the client stops waiting, on the clock of the budget. */
  readonly expiresAt: number;
}

export interface BodyAccount {
  /**
   * Records how much was received and how much memory it occupies. May pause or refuse the body, or
   * refuse others.
   */
  grow(receivedBytes: number, heldBytes: number): void;
  complete(heldBytes: number): void;
  close(): void;
}

export interface BodyBudget {
  open(control: BodyControl, expectation: BodyExpectation): BodyAccount;
  /** Refuses the body that has stood still longest, if it is stalled; false if there is none. */
  refuseStalled(): boolean;
  heldBytes(): number;
  bytesByStage(): ReadonlyMap<BodyStage, number>;
  countsByStage(): ReadonlyMap<BodyStage, number>;
}

export interface BodyBudgetOptions {
  readonly limits: ClientLimits;
  readonly pressure: PressureLog;
  now(): number;
}

/** A body makes progress when it has grown by this much. */
const PROGRESS_BYTES = 1024;
const CHECK_INTERVAL_MILLISECONDS = 500;
const PRESSED_CHECK_INTERVAL_MILLISECONDS = 50;

interface TrackedBody {
  readonly control: BodyControl;
  readonly expectation: BodyExpectation;
  stage: BodyStage;
  heldBytes: number;
  progressBytes: number;
  progressAt: number;
  pausedAt: number;
}

export function createBodyBudget({ limits, pressure, now }: BodyBudgetOptions): BodyBudget {
  /** In the order in which they were opened or paused last. */
  const bodies = new Set<TrackedBody>();
  let totalBytes = 0;
  let largeBodies = 0;
  let pausedBodies = 0;
  /**
   * Body that may exceed the part for large bodies until it is complete: if all were paused halfway,
   * none would ever make room.
   */
  let favouredBody: TrackedBody | undefined;
  let relievedAt = -Infinity;
  let timer: NodeJS.Timeout | undefined;
  let isPressedTimer = false;
  let isReliefDue = false;

  function setHeld(body: TrackedBody, heldBytes: number): void {
    totalBytes += heldBytes - body.heldBytes;
    if (heldBytes > SMALL_BODY_BYTES && body.heldBytes <= SMALL_BODY_BYTES) largeBodies += 1;
    if (heldBytes <= SMALL_BODY_BYTES && body.heldBytes > SMALL_BODY_BYTES) largeBodies -= 1;
    body.heldBytes = heldBytes;
  }

  function setStage(body: TrackedBody, stage: BodyStage): void {
    if (body.stage === BodyStage.Paused) pausedBodies -= 1;
    if (stage === BodyStage.Paused) pausedBodies += 1;
    body.stage = stage;
  }

  function remove(body: TrackedBody): void {
    if (!bodies.delete(body)) return;
    if (favouredBody === body) favouredBody = undefined;
    setHeld(body, 0);
    setStage(body, BodyStage.Complete);
  }

  function observe(body: TrackedBody): BudgetedBody & { readonly body: TrackedBody } {
    const isPaused = body.stage === BodyStage.Paused;
    return {
      body,
      stage: body.stage,
      heldBytes: body.heldBytes,
      sinceProgressMilliseconds: now() - body.progressAt,
      pausedMilliseconds: isPaused ? now() - body.pausedAt : 0,
    };
  }

  function refuse(body: TrackedBody): void {
    remove(body);
    pressure.record(LimitCause.BodyBytes);
    body.control.refuse();
  }

  function resume(body: TrackedBody): void {
    setStage(body, BodyStage.Receiving);
    body.progressAt = now();
    body.control.resume();
  }

  function relieve(): void {
    relievedAt = now();
    const { refused, resumed } = planBodyRelief([...bodies].map(observe), limits.largeBodyBytes);
    for (const { body } of refused) refuse(body);
    for (const { body } of resumed) {
      if (body.stage === BodyStage.Paused) resume(body);
    }
    if (favouredBody === undefined) favourOldest();
  }

  function favourOldest(): void {
    for (const body of bodies) {
      if (body.stage !== BodyStage.Paused) continue;
      const missingBytes = Math.max(0, body.expectation.expectedBytes - body.heldBytes);
      if (totalBytes + missingBytes > limits.bodyBytes && largeBodies > 1) return;
      favouredBody = body;
      resume(body);
      return;
    }
  }

  function relieveSoon(): void {
    if (isReliefDue || pausedBodies === 0) return;
    isReliefDue = true;
    setImmediate(() => {
      isReliefDue = false;
      if (pausedBodies > 0) relieve();
    });
  }

  function expireLate(): void {
    for (const body of bodies) {
      if (body.stage === BodyStage.Complete) continue;
      if (now() < body.expectation.expiresAt) continue;
      remove(body);
      pressure.record(LimitCause.BodyTimeout);
      body.control.expire();
    }
  }

  function isReceiving(): boolean {
    for (const { stage } of bodies) {
      if (stage !== BodyStage.Complete) return true;
    }
    return false;
  }

  function check(): void {
    expireLate();
    const isPressed = pausedBodies > 0 || totalBytes > limits.largeBodyBytes;
    if (isPressed) relieve();
    if (!isReceiving()) stopTimer();
    else if (isPressed !== isPressedTimer) startTimer(isPressed);
  }

  function stopTimer(): void {
    clearInterval(timer);
    timer = undefined;
  }

  function startTimer(isPressed: boolean): void {
    stopTimer();
    isPressedTimer = isPressed;
    const interval = isPressed ? PRESSED_CHECK_INTERVAL_MILLISECONDS : CHECK_INTERVAL_MILLISECONDS;
    timer = setInterval(check, interval);
    timer.unref();
  }

  function mayContinue(body: TrackedBody): boolean {
    if (totalBytes <= limits.largeBodyBytes || body === favouredBody) return true;
    // A single request is served whatever the budget.
    if (largeBodies === (body.heldBytes > SMALL_BODY_BYTES ? 1 : 0)) return true;
    return body.heldBytes <= SMALL_BODY_BYTES && totalBytes <= limits.bodyBytes;
  }

  function isOverfull(): boolean {
    return totalBytes > limits.bodyBytes && largeBodies > 1;
  }

  function limitGrowth(body: TrackedBody): void {
    if (body.stage === BodyStage.Paused || body === favouredBody) {
      // The rest of what was read before a pause is kept.
      if (isOverfull()) refuse(body);
      return;
    }
    if (mayContinue(body)) return;
    if (now() - relievedAt >= PRESSED_CHECK_INTERVAL_MILLISECONDS) relieve();
    if (!bodies.has(body) || mayContinue(body)) return;
    if (isOverfull() || pausedBodies >= limits.pausedBodies) refuse(body);
    else pause(body);
  }

  function pause(body: TrackedBody): void {
    setStage(body, BodyStage.Paused);
    body.pausedAt = now();
    // Paused bodies are resumed in the order of the set.
    bodies.delete(body);
    bodies.add(body);
    body.control.pause();
    if (!isPressedTimer || timer === undefined) startTimer(true);
  }

  return {
    open(control, expectation) {
      const body: TrackedBody = {
        control,
        expectation,
        stage: BodyStage.Receiving,
        heldBytes: 0,
        progressBytes: 0,
        progressAt: now(),
        pausedAt: 0,
      };
      bodies.add(body);
      if (timer === undefined) startTimer(false);
      return {
        grow(receivedBytes, heldBytes) {
          if (!bodies.has(body)) return;
          setHeld(body, heldBytes);
          if (receivedBytes - body.progressBytes >= PROGRESS_BYTES) {
            body.progressBytes = receivedBytes;
            body.progressAt = now();
          }
          limitGrowth(body);
        },
        complete(heldBytes) {
          if (!bodies.has(body)) return;
          setHeld(body, heldBytes);
          setStage(body, BodyStage.Complete);
          if (favouredBody !== body) return;
          favouredBody = undefined;
          relieveSoon();
        },
        close() {
          remove(body);
          relieveSoon();
        },
      };
    },
    refuseStalled() {
      const stalled = [...bodies]
        .filter(({ stage }) => stage === BodyStage.Receiving)
        .map(observe)
        .filter((one) => one.sinceProgressMilliseconds >= STALLED_MILLISECONDS)
        .sort((a, b) => b.sinceProgressMilliseconds - a.sinceProgressMilliseconds);
      const longest = stalled[0];
      if (longest === undefined) return false;
      refuse(longest.body);
      return true;
    },
    heldBytes: () => totalBytes,
    bytesByStage: () => sumByStage(bodies, ({ heldBytes }) => heldBytes),
    countsByStage: () => sumByStage(bodies, () => 1),
  };
}

function sumByStage(
  bodies: Iterable<TrackedBody>,
  measure: (body: TrackedBody) => number,
): ReadonlyMap<BodyStage, number> {
  const sums = new Map(Object.values(BodyStage).map((stage) => [stage, 0]));
  for (const body of bodies) sums.set(body.stage, (sums.get(body.stage) ?? 0) + measure(body));
  return sums;
}
