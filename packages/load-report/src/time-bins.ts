/**
 * Counts by time, in bins of one second at first, in bounded memory: when the logs span too many
 * bins, neighbouring ones become one.
 */
import { emptyCounts, EndClass } from './request-counts.js';
import type { EndCounts, RequestEnd } from './request-counts.js';

export interface TimeBin {
  /** Milliseconds since 1970 at which it begins. */
  readonly from: number;
  readonly counts: EndCounts;
  /** Requests sent to a backend server, and those it had in hand then, summed. */
  sends: number;
  outstanding: number;
  mostOutstanding: number;
  /** Ids of some that were lost or late, the worst first. */
  examples: readonly Example[];
}

export interface Example {
  readonly requestId: string;
  readonly cost: number;
}

export interface TimeBins {
  addEnd(end: RequestEnd): void;
  addSend(at: number, outstanding: number): void;
  /** In order of time. */
  list(): readonly TimeBin[];
  widthMilliseconds(): number;
}

const SECOND_MILLISECONDS = 1000;
/** Five and a half hours by the second; two days by eight seconds. */
const MAXIMUM_BINS = 20_000;
const MAXIMUM_EXAMPLES = 3;

/** What an end costs its caller: nothing in time, and twice as much when lost as when late. */
export function costOf(end: EndClass): number {
  switch (end) {
    case EndClass.RefusedAgain:
    case EndClass.Failed:
      return 2;
    case EndClass.Late:
      return 1;
    case EndClass.InTime:
    case EndClass.Refused:
    case EndClass.ServerError:
    case EndClass.Gone:
    case EndClass.Improper:
      return 0;
    default: {
      const unreachable: never = end;
      return unreachable;
    }
  }
}

function worstOf(examples: readonly Example[]): readonly Example[] {
  return [...examples].sort((left, right) => right.cost - left.cost).slice(0, MAXIMUM_EXAMPLES);
}

function emptyBin(from: number): TimeBin {
  return {
    from,
    counts: emptyCounts(),
    sends: 0,
    outstanding: 0,
    mostOutstanding: 0,
    examples: [],
  };
}

function addBin(into: TimeBin, bin: TimeBin): void {
  for (const end of Object.values(EndClass)) into.counts[end] += bin.counts[end];
  into.sends += bin.sends;
  into.outstanding += bin.outstanding;
  into.mostOutstanding = Math.max(into.mostOutstanding, bin.mostOutstanding);
  into.examples = worstOf([...into.examples, ...bin.examples]);
}

export function createTimeBins(maximumBins = MAXIMUM_BINS): TimeBins {
  let width = SECOND_MILLISECONDS;
  let bins = new Map<number, TimeBin>();

  function widen(): void {
    width *= 2;
    const old = bins.values();
    bins = new Map();
    for (const bin of old) addBin(binAt(bin.from), bin);
  }

  function binAt(at: number): TimeBin {
    const from = Math.floor(at / width) * width;
    const known = bins.get(from);
    if (known !== undefined) return known;
    const bin = emptyBin(from);
    bins.set(from, bin);
    return bin;
  }

  function bound(): void {
    while (bins.size > maximumBins) widen();
  }

  return {
    addEnd({ at, end, requestId }) {
      const bin = binAt(at);
      bin.counts[end] += 1;
      const cost = costOf(end);
      if (cost > 0) bin.examples = worstOf([...bin.examples, { requestId, cost }]);
      bound();
    },
    addSend(at, outstanding) {
      const bin = binAt(at);
      bin.sends += 1;
      bin.outstanding += outstanding;
      bin.mostOutstanding = Math.max(bin.mostOutstanding, outstanding);
      bound();
    },
    list: () => [...bins.values()].sort((left, right) => left.from - right.from),
    widthMilliseconds: () => width,
  };
}
