/**
 * Measures the passes of lock-step groups by the pauses between events that this entry forwards,
 * and limits the streams of each group by them.
 */
import { planConcurrencyLimit } from './plan-concurrency-limit.js';
import type { ConcurrencyLimitInput, PassObservation } from './plan-concurrency-limit.js';

export interface GroupLimitInput extends Omit<ConcurrencyLimitInput, 'observations'> {
  readonly group: string;
}

export interface GroupConcurrency {
  /** Records the pause between two consecutive events of a stream of the group. */
  recordEventGap(group: string, gapMilliseconds: number): void;
  /**
   * Most streams at which passes like the recent ones stay within the objective; undefined while
   * too little is known, or where no limit is needed or helps.
   */
  maximumStreams(input: GroupLimitInput): number | undefined;
}

export interface GroupConcurrencyOptions {
  now(): number;
  /** Streams in the group by the servers' reports; undefined without recent ones. */
  streamsIn(group: string): number | undefined;
}

/** Some passes, and less than a map change takes. */
const INTERVAL_MILLISECONDS = 250;
/** Demand that shifts more rarely is not worth the capacity that the limit costs in between. */
const MEMORY_MILLISECONDS = 15_000;
/** One pause may be due to the network. */
const MINIMUM_GAPS = 2;
const MAXIMUM_GROUPS = 64;

interface TimedObservation extends PassObservation {
  readonly at: number;
}

interface GroupRecord {
  gaps: number[];
  intervalEndsAt: number;
  /** Of the last interval; its streams are reported during the next one. */
  pending: PassObservation | undefined;
  observations: TimedObservation[];
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

export function createGroupConcurrency(options: GroupConcurrencyOptions): GroupConcurrency {
  const { now, streamsIn } = options;
  const records = new Map<string, GroupRecord>();

  function recordOf(group: string): GroupRecord {
    let record = records.get(group);
    if (record === undefined) {
      // Names of groups come from servers, so that they are not bounded otherwise.
      if (records.size >= MAXIMUM_GROUPS) records.clear();
      record = {
        gaps: [],
        intervalEndsAt: now() + INTERVAL_MILLISECONDS,
        pending: undefined,
        observations: [],
      };
      records.set(group, record);
    }
    return record;
  }

  function closeInterval(group: string, record: GroupRecord): void {
    const at = now();
    const streams = streamsIn(group);
    const { pending, gaps } = record;
    if (pending !== undefined && streams !== undefined) {
      const { gapMilliseconds } = pending;
      const largest = Math.max(pending.streams, streams);
      record.observations.push({ at, gapMilliseconds, streams: largest });
    }
    record.pending =
      streams !== undefined && gaps.length >= MINIMUM_GAPS
        ? { gapMilliseconds: medianOf(gaps), streams }
        : undefined;
    record.gaps = [];
    record.intervalEndsAt = at + INTERVAL_MILLISECONDS;
    record.observations = record.observations.filter(
      (observation) => observation.at > at - MEMORY_MILLISECONDS,
    );
  }

  return {
    recordEventGap(group, gapMilliseconds) {
      const record = recordOf(group);
      record.gaps.push(gapMilliseconds);
      if (now() >= record.intervalEndsAt) closeInterval(group, record);
    },
    maximumStreams(input) {
      const record = records.get(input.group);
      if (record === undefined) return undefined;
      const from = now() - MEMORY_MILLISECONDS;
      const observations = record.observations.filter(({ at }) => at > from);
      return planConcurrencyLimit({ ...input, observations });
    },
  };
}
