/**
 * Chooses the backend server with the lowest estimated response time, for servers that every entry
 * calls directly. Pure: the corrected load of each server goes in, a decision with its reason comes
 * out. The cost estimate holds for loads between idle and full queues. Beyond that
 * `canServeInTime` excludes servers, and the caller decides what happens to the request.
 */
import { pickSome } from '@lapisbridge/kernel';

/** What an entry knows of one backend server. */
export interface ServerView {
  readonly instanceId: string;
  readonly availabilityZone: string;
  /** Requests that the server runs at once. */
  readonly slots: number;
  /** Requests running and waiting at the server: its last report plus what was sent since. */
  readonly outstanding: number;
  /** The same, with what other entries are assumed to have sent since the report. */
  readonly expectedOutstanding: number;
  /** Prompt tokens that this entry has sent and that, as far as it can tell, await prefill. */
  readonly pendingPrefillTokens: number;
  /** Typical milliseconds until a whole answer, or the first event of a stream; 0 when unknown. */
  readonly typicalResponseMilliseconds: number;
  /** Age of the last report; undefined when there is none, or it is too old to use. */
  readonly reportAgeMilliseconds: number | undefined;
  /** Whether nothing is heard of the server while most servers of its service are heard. */
  readonly isSilent: boolean;
  /** Exponentially decayed count of recent failures; 0 for a healthy server. */
  readonly decayedFailures: number;
  /** Milliseconds until this entry's share of the server's limits allows a request; 0 for now. */
  readonly limitedForMilliseconds: number;
  /** Remaining milliseconds of the backoff that the server has asked for; 0 when there is none. */
  readonly backoffMilliseconds: number;
  /**
   * Milliseconds for which the server's lock-step group has been broken; undefined while it runs.
   * The server can run nothing until the group forms again.
   */
  readonly brokenForMilliseconds: number | undefined;
}

export interface ServerChoiceInput {
  readonly views: readonly ServerView[];
  readonly ownZone: string;
  /** Instance ids of servers that are not to be chosen. */
  readonly excluded: ReadonlySet<string>;
  readonly prefillTokensPerMillisecond: number;
  /**
   * Estimated number of requests that other entries have sent to the service since the servers'
   * reports were made; 0 where no other entry sends.
   */
  readonly unreportedArrivals: number;
  /** Whether a server can take the request in time for its caller; others are excluded. */
  readonly canServeInTime?: (view: ServerView) => boolean;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

export enum ServerChoiceKind {
  Chosen = 'chosen',
  /** No server is known, or all have been tried. */
  NoneLeft = 'noneLeft',
  /** This entry has used up its share of every remaining server's limits for now. */
  AllLimited = 'allLimited',
  /** Every remaining server within its limits has asked for a backoff. */
  AllBackingOff = 'allBackingOff',
  /** Every server that may be sent to is too loaded for this request, or silent. */
  AllCrowded = 'allCrowded',
  /** The lock-step groups of all remaining servers are broken. */
  AllBroken = 'allBroken',
}

export type ServerChoice =
  | { readonly kind: ServerChoiceKind.Chosen; readonly view: ServerView; readonly cost: number }
  | { readonly kind: ServerChoiceKind.NoneLeft }
  | { readonly kind: ServerChoiceKind.AllCrowded }
  | {
      readonly kind: ServerChoiceKind.AllLimited;
      /** Until the first server may be sent a request; infinite when none ever may. */
      readonly limitedForMilliseconds: number;
    }
  | {
      readonly kind: ServerChoiceKind.AllBackingOff;
      /** Until the first backoff ends. */
      readonly backoffMilliseconds: number;
    }
  | {
      readonly kind: ServerChoiceKind.AllBroken;
      /** Of the group that has been broken longest, and is likely to form again first. */
      readonly brokenForMilliseconds: number;
    };

/** Assumed response time while none is known: between those of a booking and of a draft. */
const DEFAULT_RESPONSE_MILLISECONDS = 50;
/** Round trip to another zone: about twice the usual 1.4 ms one way. */
const ZONE_ROUND_TRIP_MILLISECONDS = 3;
/**
 * Cost of one recent failure, in response times of the slowest server, so that a server that fails
 * half of its requests is used last. A failing server often answers at once: its own response time
 * would hide the failures and attract every request.
 */
const FAILURE_WEIGHT = 3;
/** If one of the compared servers fails, two healthy ones remain. */
const MINIMUM_SAMPLE_SIZE = 3;
/**
 * Upper bound of the random part of a cost, which keeps entries from all choosing the same server.
 */
const TIE_JITTER_MILLISECONDS = 2;

function typicalResponseOf(view: ServerView): number {
  return view.typicalResponseMilliseconds || DEFAULT_RESPONSE_MILLISECONDS;
}

/** `slowestResponseMilliseconds` is the longest typical response time of the service's servers. */
function estimateCostMilliseconds(
  view: ServerView,
  slowestResponseMilliseconds: number,
  input: ServerChoiceInput,
): number {
  const typical = typicalResponseOf(view);
  const occupancy = view.outstanding / Math.max(1, view.slots);
  // Up to its slots, a server divides its speed among requests; each further full set of requests
  // adds the wait for an answer.
  const wait = typical * (occupancy + Math.max(0, occupancy - 1) * 2);
  const prefill = view.pendingPrefillTokens / Math.max(1, input.prefillTokensPerMillisecond);
  const hop = view.availabilityZone === input.ownZone ? 0 : ZONE_ROUND_TRIP_MILLISECONDS;
  const penalty = view.decayedFailures * FAILURE_WEIGHT * slowestResponseMilliseconds;
  return typical + wait + prefill + hop + penalty + input.random() * TIE_JITTER_MILLISECONDS;
}

/**
 * How many of the usable servers to compare. All entries read the same reports, so all of them send
 * to whichever server looks idle until its next report. With 39 entries, 63 servers and reports
 * 0.3 s old, 13 requests reached one server within 0.2 s and the last of them waited for 2 s while
 * other servers were idle: 338 of 4,642 streams of a day waited over 0.8 s for their first event.
 * Comparing a small random sample leaves the least loaded server about one unreported request.
 */
function planSampleSize(usable: number, unreportedArrivals: number): number {
  return Math.max(MINIMUM_SAMPLE_SIZE, Math.ceil(usable / (unreportedArrivals + 1)));
}

/** Chooses among the servers that may be sent to now; otherwise says why none may. */
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
    // A stopped server still accepts connections, and runs what it accepted once it resumes.
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
