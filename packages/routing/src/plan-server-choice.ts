/**
 * Chooses the backend server that answers a request soonest, for servers that anyone may call
 * directly. Pure: what is known of each server comes in with its corrections, a decision with
 * its reason comes out. Made for loads between idle and full queues; beyond that `fits`
 * leaves servers out, and the caller decides what becomes of the request.
 */
import { pickSome } from '@lapisbridge/kernel';

export interface ServerView {
  readonly instanceId: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Requests running and waiting there: the last report, corrected by what was sent since. */
  readonly outstanding: number;
  /** The same where every other entry has sent as many as this one since the report. */
  readonly expectedOutstanding: number;
  /** Prompt tokens sent there by this entry that are not read yet, as far as it can tell. */
  readonly pendingPrefillTokens: number;
  /** Typical time of one answer or first event, in milliseconds; 0 when unknown. */
  readonly typicalResponseMilliseconds: number;
  /** Age of the report in milliseconds; undefined where there is none to go by. */
  readonly reportAgeMilliseconds: number | undefined;
  /** Whether it gives no sign of life while most of its service do. */
  readonly isSilent: boolean;
  /** Recent failures, decayed; 0 for a sound server. */
  readonly decayedFailures: number;
  /** Milliseconds until the own shares of the server's bounds allow one more request; 0 for now. */
  readonly limitedForMilliseconds: number;
  /** Milliseconds for which the server has asked to be sent nothing; 0 where it has not. */
  readonly backoffMilliseconds: number;
  /**
   * For how long its lock-step group has stood still, in milliseconds; undefined while it runs.
   * Until the group forms anew the server can run nothing.
   */
  readonly brokenForMilliseconds: number | undefined;
}

export interface ServerChoiceInput {
  readonly views: readonly ServerView[];
  readonly ownZone: string;
  readonly excluded: ReadonlySet<string>;
  readonly prefillTokensPerMillisecond: number;
  /**
   * Requests that other entries have sent to the service since the servers' reports were made,
   * as far as this entry can guess; 0 where nobody else sends.
   */
  readonly unreportedArrivals: number;
  /** Whether a server can take the request in time for its caller; others are left out. */
  readonly canServeInTime?: (view: ServerView) => boolean;
  readonly random: () => number;
}

export enum ServerChoiceKind {
  Chosen = 'chosen',
  /** No server is known, or all were tried. */
  NoneLeft = 'noneLeft',
  /** Servers are there, and the own share of each one's bounds is used up for now. */
  AllLimited = 'allLimited',
  /** Servers are there, and those with room have asked to be sent nothing for now. */
  AllBackingOff = 'allBackingOff',
  /** Every server that could be sent to is too full for this request, or gives no sign of life. */
  AllCrowded = 'allCrowded',
  /** The groups of all servers that are left stand still. */
  AllBroken = 'allBroken',
}

export type ServerChoice =
  | { readonly kind: ServerChoiceKind.Chosen; readonly view: ServerView; readonly cost: number }
  | { readonly kind: ServerChoiceKind.NoneLeft }
  | { readonly kind: ServerChoiceKind.AllCrowded }
  | {
      readonly kind: ServerChoiceKind.AllLimited;
      /** Until the first of them takes one more; infinite where none will. */
      readonly limitedForMilliseconds: number;
    }
  | {
      readonly kind: ServerChoiceKind.AllBackingOff;
      /** Until the first of them may be sent to. */
      readonly backoffMilliseconds: number;
    }
  | {
      readonly kind: ServerChoiceKind.AllBroken;
      /** Of the group that has stood still for longest, and is likely to be back first. */
      readonly brokenForMilliseconds: number;
    };

/** Time of one answer where none is known yet, in milliseconds: between a booking and a draft. */
const DEFAULT_RESPONSE_MILLISECONDS = 50;
/** What a hop to another zone costs and back, in milliseconds: twice the usual 1.4 one way. */
const ZONE_ROUND_TRIP_MILLISECONDS = 3;
/**
 * Weight of one recent failure, in answers of the slowest server: one that fails half is used
 * last. A failing server often answers at once, so that its own times would hide its failures
 * and draw every request to it.
 */
const FAILURE_WEIGHT = 3;
/** Two sound ones remain where one of the compared servers fails. */
const MINIMUM_SAMPLE_SIZE = 3;
/** Spread of ties, in milliseconds, so that entries do not all take the same server. */
const TIE_JITTER_MILLISECONDS = 2;

function typicalResponseOf(view: ServerView): number {
  return view.typicalResponseMilliseconds || DEFAULT_RESPONSE_MILLISECONDS;
}

/** `slowest` is the longest typical answer of the service's servers, in milliseconds. */
function estimateCostMilliseconds(
  view: ServerView,
  slowestResponseMilliseconds: number,
  input: ServerChoiceInput,
): number {
  const typical = typicalResponseOf(view);
  const occupancy = view.outstanding / Math.max(1, view.slots);
  // Below its slots a server shares its speed; above them each full set waits one answer more.
  const wait = typical * (occupancy + Math.max(0, occupancy - 1) * 2);
  const prefill = view.pendingPrefillTokens / Math.max(1, input.prefillTokensPerMillisecond);
  const hop = view.availabilityZone === input.ownZone ? 0 : ZONE_ROUND_TRIP_MILLISECONDS;
  const penalty = view.decayedFailures * FAILURE_WEIGHT * slowestResponseMilliseconds;
  return typical + wait + prefill + hop + penalty + input.random() * TIE_JITTER_MILLISECONDS;
}

/**
 * How many of the usable servers are compared. All entries read the same reports, and whichever
 * server looks idle is sent to by all of them until the next report: with 39 entries, 63 servers
 * and reports 0.3 s old, 13 requests went to a server within 0.2 s and the last of them waited
 * for 2 s, while servers beside it were idle (338 of 4,642 streams of a day waited over 0.8 s for
 * their first event). Comparing few at random leaves the least loaded server about one request
 * that nobody else knows of.
 */
function planSampleSize(usable: number, unreportedArrivals: number): number {
  return Math.max(MINIMUM_SAMPLE_SIZE, Math.ceil(usable / (unreportedArrivals + 1)));
}

export function planServerChoice(input: ServerChoiceInput): ServerChoice {
  const usable: ServerView[] = [];
  let limitedFor: number | undefined;
  let backoff: number | undefined;
  let isAnyCrowded = false;
  let brokenFor = -1;
  for (const view of input.views) {
    if (input.excluded.has(view.instanceId)) continue;
    if (view.brokenForMilliseconds !== undefined) {
      brokenFor = Math.max(brokenFor, view.brokenForMilliseconds);
      continue;
    }
    if (view.backoffMilliseconds > view.limitedForMilliseconds) {
      backoff = Math.min(backoff ?? Infinity, view.backoffMilliseconds);
      continue;
    }
    if (view.limitedForMilliseconds > 0) {
      limitedFor = Math.min(limitedFor ?? Infinity, view.limitedForMilliseconds);
      continue;
    }
    // It takes connections even when it has stopped, and what it took runs when it goes on.
    if (view.isSilent || input.canServeInTime?.(view) === false) {
      isAnyCrowded = true;
      continue;
    }
    usable.push(view);
  }
  const slowestResponseMilliseconds = Math.max(...input.views.map(typicalResponseOf));
  const size = planSampleSize(usable.length, input.unreportedArrivals);
  let best: ServerView | undefined;
  let bestCost = Infinity;
  for (const view of pickSome(usable, size, input.random)) {
    const cost = estimateCostMilliseconds(view, slowestResponseMilliseconds, input);
    if (cost < bestCost) {
      best = view;
      bestCost = cost;
    }
  }
  if (best !== undefined) return { kind: ServerChoiceKind.Chosen, view: best, cost: bestCost };
  if (isAnyCrowded) return { kind: ServerChoiceKind.AllCrowded };
  if (backoff !== undefined && backoff < (limitedFor ?? Infinity)) {
    return { kind: ServerChoiceKind.AllBackingOff, backoffMilliseconds: backoff };
  }
  if (limitedFor !== undefined) {
    return { kind: ServerChoiceKind.AllLimited, limitedForMilliseconds: limitedFor };
  }
  if (brokenFor < 0) return { kind: ServerChoiceKind.NoneLeft };
  return { kind: ServerChoiceKind.AllBroken, brokenForMilliseconds: brokenFor };
}
