/**
 * Computes how many streams a lock-step group may run. Intended for bursts and shifts of the demand
 * for experts: all ranks execute each pass together, so every stream makes the next event of all
 * others later, and the experts that a shift has made popular multiply that time until the group's
 * map has followed. A limit that only holds while passes are even is exceeded at the next shift, so
 * it is derived from the most expensive tenth of the recent passes. Pure.
 */

/** Passes of a group within a short interval. */
export interface PassObservation {
  /** Typical pause between two events of a stream, in milliseconds. */
  readonly gapMilliseconds: number;
  /** Streams in the group. */
  readonly streams: number;
}

export interface ConcurrencyLimitInput {
  readonly observations: readonly PassObservation[];
  /** Duration of a pass without streams. */
  readonly basePassMilliseconds: number;
  /** Longest pause between events with which an answer is on time. */
  readonly gapObjectiveMilliseconds: number;
  /** Streams that the group's servers run at once. */
  readonly slots: number;
}

/**
 * Share of the passes that may exceed the objective. Streams reported late make single observations
 * too expensive.
 */
const EXPENSIVE_SHARE = 0.1;
/** Events need this share of the objective on the way to the caller. */
const TRANSPORT_SHARE = 0.04;
/** With fewer streams, other causes than their number dominate the pass. */
const MINIMUM_STREAMS_SHARE = 0.1;
/**
 * A limit below this share of the slots would refuse most callers for the sake of the others; such
 * passes have another cause, as a slow rank.
 */
const MINIMUM_LIMIT_SHARE = 0.35;

/** Returns undefined where too little is known or no limit is needed. */
export function planConcurrencyLimit(input: ConcurrencyLimitInput): number | undefined {
  const { basePassMilliseconds: base, slots } = input;
  const available = input.gapObjectiveMilliseconds * (1 - TRANSPORT_SHARE) - base;
  if (available <= 0) return undefined;
  const minimumLimit = slots * MINIMUM_LIMIT_SHARE;
  const limits: number[] = [];
  for (const { gapMilliseconds, streams } of input.observations) {
    if (streams < slots * MINIMUM_STREAMS_SHARE) continue;
    const perStream = Math.max(0, gapMilliseconds - base) / streams;
    const limit = perStream === 0 ? slots : available / perStream;
    if (limit >= minimumLimit) limits.push(limit);
  }
  limits.sort((left, right) => left - right);
  const limit = limits[Math.floor(limits.length * EXPENSIVE_SHARE)];
  return limit === undefined || limit >= slots ? undefined : limit;
}
