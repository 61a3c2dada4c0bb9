/**
 * Callers of a site: each sends one request after the other to some entry, keeps its connections
 * until the process behind them is gone, and records what it saw.
 */
import { Agent } from 'node:http';

import { EventKind } from '@lapisbridge/history';
import type { History } from '@lapisbridge/history';
import { createRandom, sleep } from '@lapisbridge/kernel';
import type { Random } from '@lapisbridge/kernel';
import { Ran } from '@lapisbridge/types';
import {
  BOOKING_PREFIX,
  eventText,
  LOOK_UP_PREFIX,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  plainBody,
  sendCallerRequest,
  STREAM_EVENTS,
  STREAM_PREFIX,
} from '@lapisbridge/users-platform';
import type { CallerOutcome } from '@lapisbridge/users-platform';

import { CrashingKind } from './site.js';
import type { Site } from './site.js';

export enum Kind {
  Stream = 'stream',
  Booking = 'booking',
  LookUp = 'look-up',
}

export interface Callers {
  /** Violations that need no look at the whole history. */
  readonly violations: readonly string[];
  /** Sends one request to an entry; true when the whole answer came. */
  call(entry: number, kind: Kind): Promise<boolean>;
  /** Ends when all callers have had their last answer. */
  run(count: number, milliseconds: number): Promise<void>;
  /** Answered wholly, and sent. */
  tally(): { readonly served: number; readonly sent: number };
  close(): void;
}

/** These say that the request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Every request of these callers is proper in every configuration. */
const DENIALS: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 431]);
const PATIENCE_MILLISECONDS = 3500;
/** A caller leaves a stream that pauses for so long, also before its first event. */
const STREAM_GAP_MILLISECONDS = 2000;
const PREFIXES: Readonly<Record<Kind, string>> = {
  [Kind.Stream]: STREAM_PREFIX,
  [Kind.Booking]: BOOKING_PREFIX,
  [Kind.LookUp]: LOOK_UP_PREFIX,
};

/** Prompt parts have hexadecimal ids. */
const FIRST_PART = 'aa';
const SUBJECT_PREFIX = 'c';
const SUBJECTS = 7;
/** Last part of a prompt that is sent more than once. */
const REPEATED_PART = 'dead';
const CRASHING_PAUSE_MILLISECONDS = 300;
const RETRY_MILLISECONDS = 1;
const CRASHING_KINDS: Readonly<Record<Kind.Stream | Kind.LookUp, CrashingKind>> = {
  [Kind.Stream]: CrashingKind.Stream,
  [Kind.LookUp]: CrashingKind.LookUp,
};
/** Share of the connections that a hand-over gives to one entry. */
const HANDED_OVER_SHARE = 0.9;
const CRASHING_SEED = 0xbad;

function expectedText(kind: Kind, requestId: string): string {
  if (kind !== Kind.Stream) return plainBody(requestId);
  let text = '';
  for (let id = 1; id <= STREAM_EVENTS; id += 1) text += eventText(requestId, id);
  return text;
}

export function createCallers(site: Site, history: History, random: Random, key: string): Callers {
  const violations: string[] = [];
  /** Opens a connection for each request. */
  const newConnections = new Agent({ keepAlive: false });
  const agents = site.entries.map(() => new Agent({ keepAlive: true }));
  // Drawn apart from the others, so that seeds keep the load that they had without them.
  const drawEntry = createRandom(CRASHING_SEED);
  let sent = 0;
  let served = 0;

  function check(requestId: string, kind: Kind, outcome: CallerOutcome): boolean {
    const { status, isComplete, isSigned, text } = outcome;
    if (DENIALS.has(status)) violations.push(`denied: ${requestId} got ${status}`);
    const isSuccess = status >= 200 && status < 300;
    if (!isSuccess) return false;
    if (!isSigned) violations.push(`unsigned: ${requestId} got ${status}`);
    if (outcome.requestId !== requestId) violations.push(`foreign: ${requestId} got another's`);
    const expected = expectedText(kind, requestId);
    // One that is broken off visibly counts as told; the code only has to be there.
    const code = isComplete ? undefined : status;
    history.record({
      kind: EventKind.Answer,
      request: requestId,
      text,
      expected,
      complete: isComplete,
      ...(code === undefined ? {} : { code }),
    });
    return isComplete && text === expected;
  }

  function call(entry: number, kind: Kind): Promise<boolean> {
    return send(entry, kind, sharedPartsOf(kind));
  }

  /** Sends the requests with a crashing part until the time is over; nobody misses them. */
  async function callWithCrashingParts(until: number): Promise<void> {
    while (performance.now() < until) {
      await sleep(CRASHING_PAUSE_MILLISECONDS);
      for (const kind of [Kind.Stream, Kind.LookUp] as const) {
        const part = site.crashingPart(CRASHING_KINDS[kind]);
        const entry = Math.floor(drawEntry() * site.entries.length);
        if (part !== undefined) void send(entry, kind, [FIRST_PART, part]);
      }
    }
  }

  /** One caller repeats the crashing request elsewhere as soon as an attempt has failed. */
  async function repeatCrashingRequest(until: number): Promise<void> {
    let entry = 0;
    while (performance.now() < until) {
      const request = site.crashingRequest();
      if (request === undefined) {
        await sleep(CRASHING_PAUSE_MILLISECONDS);
        continue;
      }
      const { target } = request;
      const kind = request.kind === CrashingKind.Stream ? Kind.Stream : Kind.LookUp;
      const sharedParts = request.hasParts ? [FIRST_PART] : [];
      entry = (entry + 1) % site.entries.length;
      const isServed = await send(entry, kind, sharedParts, target);
      await sleep(isServed ? CRASHING_PAUSE_MILLISECONDS : RETRY_MILLISECONDS);
    }
  }

  /** Sound requests share a first part, and some of them a second one. */
  function sharedPartsOf(kind: Kind): readonly string[] {
    if (kind === Kind.Booking) return [];
    return [FIRST_PART, `${SUBJECT_PREFIX}${sent % SUBJECTS}`];
  }

  /** `repeated` is the target of a request that is sent more than once. */
  async function send(
    entry: number,
    kind: Kind,
    sharedParts: readonly string[],
    repeated?: string,
  ): Promise<boolean> {
    sent += 1;
    const requestId = `${kind}-${sent}`;
    const sentAt = performance.now();
    const program = site.entries[entry];
    const agent = agents[entry];
    if (program === undefined || agent === undefined) throw new Error(`there is no entry ${entry}`);
    const before = program.stops();
    const service = kind === Kind.Stream ? MODEL_SERVICE : PLAIN_SERVICE;
    site.noteRequest(requestId, program.name, service);
    history.record({ kind: EventKind.Invoke, request: requestId, callKey: requestId });
    const outcome = await sendCallerRequest({
      ...site.callersAt(entry),
      requestId,
      path: repeated ?? `${PREFIXES[kind]}${requestId}`,
      method: kind === Kind.LookUp ? 'GET' : 'POST',
      key,
      promptParts:
        sharedParts.length === 0
          ? []
          : [...sharedParts, repeated === undefined ? sent.toString(16) : REPEATED_PART],
      timeoutMilliseconds: PATIENCE_MILLISECONDS,
      abandonAfterPauseMilliseconds: kind === Kind.Stream ? STREAM_GAP_MILLISECONDS : undefined,
      agent: site.receivingEntry() === undefined ? agent : newConnections,
    });
    if (outcome.hasAbandoned) site.abandonmentWatch.onLeft(requestId);
    history.record({
      kind: EventKind.Reply,
      request: requestId,
      callKey: requestId,
      status: outcome.status,
      ...(NOT_RUN.has(outcome.status) ? { ran: Ran.No } : {}),
    });
    const after = program.stops();
    // Sent before the stop was asked for, and ended without an answer while it went on.
    const wasKilled = after.killed > before.killed;
    const isInStop = after.asked > before.asked && before.asked === before.ended && !wasKilled;
    const hasLeft = outcome.hasAbandoned || outcome.hasTimedOut;
    if (outcome.status === 0 && outcome.wasConnected && !hasLeft && isInStop) {
      const waited = Math.round(performance.now() - sentAt);
      const reason = `${requestId} ${outcome.failure} after ${waited} ms`;
      history.record({ kind: EventKind.Stopped, instanceId: program.name, cutOff: 1, reason });
    }
    const isServed = check(requestId, kind, outcome);
    if (repeated !== undefined) return isServed;
    const isSound = !sharedParts.some((part) => site.crashWatch.isCrashing(part));
    if (isSound && outcome.wasConnected) {
      site.handOverWatch.onEnd(program.name, kind, sentAt, outcome.status === 200);
    }
    if (isSound) site.crashWatch.onSoundEnd(program.name, kind, sentAt, outcome.status === 200);
    if (isServed) served += 1;
    return isServed;
  }

  /** The entry that a caller's connection is handed to; `drawn` is uniform in [0, 1). */
  function chooseEntry(drawn: number): number {
    const chosen = drawn * site.entries.length;
    const receiving = site.receivingEntry();
    const isHandedOver = receiving !== undefined && chosen % 1 < HANDED_OVER_SHARE;
    return isHandedOver ? receiving : Math.floor(chosen);
  }

  async function callAlways(until: number): Promise<void> {
    const kinds = Object.values(Kind);
    while (performance.now() < until) {
      const kind = kinds[Math.floor(random() * kinds.length)];
      const isServed = await call(chooseEntry(random()), kind);
      // Callers that were refused or lost wait before they ask for something else.
      const pause = isServed ? 5 : 80;
      await new Promise((resolve) => {
        setTimeout(resolve, pause * (0.5 + random()));
      });
    }
  }

  return {
    violations,
    call,
    async run(count, milliseconds) {
      const until = performance.now() + milliseconds;
      await Promise.all([
        ...Array.from({ length: count }, () => callAlways(until)),
        callWithCrashingParts(until),
        repeatCrashingRequest(until),
      ]);
    },
    tally: () => ({ served, sent }),
    close() {
      for (const agent of [...agents, newConnections]) agent.destroy();
    },
  };
}
