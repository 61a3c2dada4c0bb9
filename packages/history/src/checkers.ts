/**
 * One pure checker for each promise: a history in, violations out.
 */
import { Ran } from '@lapisbridge/types';

import { EventKind } from './events.js';
import type { EventOf, HistoryEvent } from './events.js';

export interface Violation {
  readonly promise: string;
  readonly detail: string;
}

export type Checker = (events: readonly HistoryEvent[]) => readonly Violation[];

function select<K extends EventKind>(events: readonly HistoryEvent[], kind: K): EventOf<K>[] {
  return events.filter((event): event is EventOf<K> => event.kind === kind);
}

function countEffects(events: readonly HistoryEvent[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { callKey } of select(events, EventKind.Effect)) {
    counts.set(callKey, (counts.get(callKey) ?? 0) + 1);
  }
  return counts;
}

/** A certificate, booking or reservation runs at most once. */
export const checkAtMostOnce: Checker = (events) => {
  const violations: Violation[] = [];
  for (const [callKey, count] of countEffects(events)) {
    if (count > 1) violations.push({ promise: 'at most once', detail: `${callKey} ran ${count}×` });
  }
  return violations;
};

/**
 * "Not run" is true for the key, unless the caller itself sent it again afterwards, or had
 * another request with the key open at the time.
 */
export const checkNotRunIsTrue: Checker = (events) => {
  const effects = countEffects(events);
  const violations: Violation[] = [];
  const lastReply = new Map<string, EventOf<EventKind.Reply>>();
  const open = new Map<string, number>();
  for (const event of events) {
    if (event.kind === EventKind.Invoke && event.callKey !== undefined) {
      open.set(event.callKey, (open.get(event.callKey) ?? 0) + 1);
      lastReply.delete(event.callKey);
    } else if (event.kind === EventKind.Reply && event.callKey !== undefined) {
      const stillOpen = (open.get(event.callKey) ?? 1) - 1;
      open.set(event.callKey, stillOpen);
      if (stillOpen === 0) lastReply.set(event.callKey, event);
    }
  }
  for (const [callKey, reply] of lastReply) {
    const count = effects.get(callKey) ?? 0;
    if (reply.ran === Ran.No && count > 0) {
      violations.push({ promise: 'not run is true', detail: `${callKey} ran, told "no"` });
    }
    if (reply.ran === Ran.Yes && count === 0) {
      violations.push({ promise: 'not run is true', detail: `${callKey} never ran, told "yes"` });
    }
  }
  return violations;
};

/** Every caller has the whole answer to its own request, or was told a code. */
export const checkWholeAnswers: Checker = (events) => {
  const violations: Violation[] = [];
  const report = (request: string, detail: string): void => {
    violations.push({ promise: 'whole answer', detail: `${request}: ${detail}` });
  };
  for (const { request, text, expected, complete, code } of select(events, EventKind.Answer)) {
    if (complete && text !== expected) report(request, 'ended as whole and differs');
    else if (!expected.startsWith(text)) report(request, 'holds text that is not its own');
    else if (!complete && (code ?? 0) === 0) report(request, 'ended without a code');
  }
  return violations;
};

/** What is drained or leaving gets no new work once the order is in force. */
export const checkDrained: Checker = (events) => {
  const drained = new Set<string>();
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.kind === EventKind.DrainInForce) {
      for (const instanceId of event.instanceIds) drained.add(instanceId);
    } else if (event.kind === EventKind.DrainLifted) {
      for (const instanceId of event.instanceIds) drained.delete(instanceId);
    } else if (event.kind === EventKind.Dispatch && drained.has(event.instanceId)) {
      violations.push({ promise: 'drained', detail: `${event.instanceId} got new work` });
    }
  }
  return violations;
};

/** A planned stop cuts off no request in progress. */
export const checkGracefulStop: Checker = (events) => {
  const violations: Violation[] = [];
  for (const { instanceId, cutOff, reason } of select(events, EventKind.Stopped)) {
    if (cutOff === 0) continue;
    const seen = reason === undefined ? '' : `: ${reason}`;
    const detail = `${instanceId} cut off ${cutOff}${seen}`;
    violations.push({ promise: 'graceful stop', detail });
  }
  return violations;
};

/** An accepted configuration comes into force everywhere and never reverts. */
export const checkConfiguration: Checker = (events) => {
  const violations: Violation[] = [];
  const seen = new Map<string, number>();
  let accepted = 0;
  for (const event of events) {
    if (event.kind === EventKind.ConfigurationAccepted) {
      if (event.version <= accepted) {
        const detail = `version ${event.version} accepted after ${accepted}`;
        violations.push({ promise: 'configuration', detail });
      }
      accepted = Math.max(accepted, event.version);
    } else if (event.kind === EventKind.ConfigurationSeen) {
      const before = seen.get(event.instanceId) ?? 0;
      if (event.version < before) {
        const detail = `${event.instanceId} went from ${before} back to ${event.version}`;
        violations.push({ promise: 'configuration', detail });
      }
      seen.set(event.instanceId, Math.max(before, event.version));
    } else if (event.kind === EventKind.Settled) {
      for (const instanceId of event.instanceIds) {
        const version = seen.get(instanceId) ?? 0;
        if (version >= accepted) continue;
        const detail = `${instanceId} is at ${version}, accepted is ${accepted}`;
        violations.push({ promise: 'configuration', detail });
      }
    }
  }
  return violations;
};

/** A backend server that has just started receives no more work than it can bear. */
export const checkColdStart: Checker = (events) => {
  const violations: Violation[] = [];
  for (const { instanceId, highest, bearable } of select(events, EventKind.ColdLoad)) {
    if (highest <= bearable) continue;
    const detail = `${instanceId} got ${highest} while cold, bears ${bearable}`;
    violations.push({ promise: 'cold start', detail });
  }
  return violations;
};

/** A backend server that states a rate limit gets no more than the limit allows in any window. */
export const checkRateLimit: Checker = (events) => {
  const violations: Violation[] = [];
  for (const { instanceId, requests, allowed } of select(events, EventKind.RateLimitedLoad)) {
    if (requests <= allowed) continue;
    const detail = `${instanceId} got ${requests} requests in one window, allowed are ${allowed}`;
    violations.push({ promise: 'rate limit', detail });
  }
  return violations;
};

/** A service gets no more retries from all entries than the retry budget allows in any window. */
export const checkRetryBudget: Checker = (events) => {
  const violations: Violation[] = [];
  for (const { service, retries, allowed } of select(events, EventKind.RetryLoad)) {
    if (retries <= allowed) continue;
    const detail = `${service} got ${retries} retries in one window, allowed are ${allowed.toFixed(1)}`;
    violations.push({ promise: 'retry budget', detail });
  }
  return violations;
};

/** Requests that may reach a backend server although their callers have left long before. */
const ABANDONED_ARRIVALS = 3;

/** A backend server is not given requests whose callers have left. */
export const checkAbandonment: Checker = (events) => {
  const arrivals = select(events, EventKind.AbandonedArrival);
  if (arrivals.length <= ABANDONED_ARRIVALS) return [];
  const servers = [...new Set(arrivals.map(({ instanceId }) => instanceId))].join(', ');
  const detail = `${arrivals.length} requests reached ${servers} after their callers had left`;
  return [{ promise: 'abandonment', detail }];
};

/** A backend server that says that it leaves gets no request that came later. */
export const checkDeparture: Checker = (events) =>
  select(events, EventKind.SentToLeaving).map(({ instanceId, entry }) => ({
    promise: 'departure',
    detail: `${instanceId} got a request of ${entry}, which it had told that it leaves`,
  }));

/** Requests of one entry that may reach a backend server within a backoff. */
const BACKOFF_REQUESTS = 2;

/** A backend server that asks an entry to back off gets hardly any request of it. */
export const checkBackoff: Checker = (events) => {
  const violations: Violation[] = [];
  for (const { instanceId, entry, requests } of select(events, EventKind.BackoffLoad)) {
    if (requests !== BACKOFF_REQUESTS + 1) continue;
    const detail = `${instanceId} got more than ${BACKOFF_REQUESTS} requests of ${entry} while it backed off`;
    violations.push({ promise: 'backoff', detail });
  }
  return violations;
};

/** Requests with a crashing part that may reach servers once the part should be known. */
const CRASHING_ARRIVALS = 3;

/** A prompt part that has crashed five servers ends hardly any more. */
export const checkCrashingPart: Checker = (events) => {
  const counts = new Map<string, number>();
  for (const { part } of select(events, EventKind.CrashingArrival)) {
    counts.set(part, (counts.get(part) ?? 0) + 1);
  }
  const violations: Violation[] = [];
  for (const [part, count] of counts) {
    if (count <= CRASHING_ARRIVALS) continue;
    const detail = `${count} requests with ${part} reached servers after it had crashed five`;
    violations.push({ promise: 'crashing part', detail });
  }
  return violations;
};

/** A request that has crashed three servers reaches no other. */
export const checkCrashingRequest: Checker = (events) => {
  const counts = new Map<string, number>();
  for (const { target } of select(events, EventKind.CrashingRequestArrival)) {
    counts.set(target, (counts.get(target) ?? 0) + 1);
  }
  const violations: Violation[] = [];
  for (const [target, count] of counts) {
    const detail = `${target} reached servers ${count} times after it had crashed three`;
    violations.push({ promise: 'crashing request', detail });
  }
  return violations;
};

/** Below this number of requests a share says little. */
const MINIMUM_SHARE_REQUESTS = 20;
const MINIMUM_SOUND_RATIO = 0.5;

/** Sound requests are served while requests with a crashing part come. */
export const checkSoundRequests: Checker = (events) => {
  const violations: Violation[] = [];
  for (const event of select(events, EventKind.SoundShare)) {
    const { part, servedBefore, sentBefore, servedDuring, sentDuring } = event;
    if (Math.min(sentBefore, sentDuring) < MINIMUM_SHARE_REQUESTS) continue;
    const before = servedBefore / sentBefore;
    const during = servedDuring / sentDuring;
    if (during >= before * MINIMUM_SOUND_RATIO) continue;
    const detail = `${during.toFixed(2)} served beside ${part}, ${before.toFixed(2)} before`;
    violations.push({ promise: 'sound requests', detail });
  }
  return violations;
};

const MINIMUM_HANDED_OVER_RATIO = 0.75;

/** One entry serves what is usually spread over all of them. */
export const checkHandOver: Checker = (events) => {
  const violations: Violation[] = [];
  for (const event of select(events, EventKind.HandedOverShare)) {
    const { servedBefore, sentBefore, servedDuring, sentDuring } = event;
    if (Math.min(sentBefore, sentDuring) < MINIMUM_SHARE_REQUESTS) continue;
    const before = servedBefore / sentBefore;
    const during = servedDuring / sentDuring;
    if (during >= before * MINIMUM_HANDED_OVER_RATIO) continue;
    const detail = `${during.toFixed(2)} served by one entry, ${before.toFixed(2)} by all`;
    violations.push({ promise: 'hand-over', detail });
  }
  return violations;
};

/** Only prompt parts that crash servers are blamed for it. */
export const checkBlame: Checker = (events) =>
  select(events, EventKind.SoundPartBlamed).map(({ instanceId, part }) => ({
    promise: 'blame',
    detail: `${instanceId} blames ${part}, which has crashed no server`,
  }));

/** In every step, all ranks of a group use one and the same expert map. */
export const checkOneMapPerStep: Checker = (events) => {
  const violations: Violation[] = [];
  const maps = new Map<string, number>();
  for (const { group, rank, step, mapVersion } of select(events, EventKind.MapStep)) {
    const key = `${group} step ${step}`;
    const known = maps.get(key);
    if (known === undefined) maps.set(key, mapVersion);
    else if (known !== mapVersion) {
      const detail = `${key}: rank ${rank} on map ${mapVersion}, others on ${known}`;
      violations.push({ promise: 'one map per step', detail });
    }
  }
  return violations;
};

const CHECKERS: readonly Checker[] = [
  checkAtMostOnce,
  checkNotRunIsTrue,
  checkWholeAnswers,
  checkDrained,
  checkGracefulStop,
  checkConfiguration,
  checkColdStart,
  checkRateLimit,
  checkRetryBudget,
  checkAbandonment,
  checkDeparture,
  checkBackoff,
  checkCrashingPart,
  checkCrashingRequest,
  checkSoundRequests,
  checkBlame,
  checkHandOver,
  checkOneMapPerStep,
];

/** Every violation of every promise in one history. */
export function checkAll(events: readonly HistoryEvent[]): readonly Violation[] {
  return CHECKERS.flatMap((checker) => checker(events));
}
