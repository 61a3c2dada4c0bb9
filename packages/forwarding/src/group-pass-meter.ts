/**
 * Tracks how long the passes of each lock-step group take, by the pauses between the events of this
 * entry's streams. A group that sends nothing shows no pauses, so the time for which its begun
 * streams have been waiting counts as well.
 */
import type { BackendServer } from '@lapisbridge/catalog';

/** Pauses between the events of one attempt at a stream. */
export interface EventGapWatch {
  /** Records an event; returns the pause before it, undefined for the first one after a start. */
  onEvent(): number | undefined;
  /** The next pause is the caller's, who reads slowly, and does not count. */
  onPause(): void;
  onEnd(): void;
}

export interface GroupPassMeter {
  /** Watches an attempt at a server of the group; undefined for a server without a group. */
  watch(group: string | undefined): EventGapWatch;
  recordGap(group: string, gapMilliseconds: number): void;
  /** Last known length of a pass; undefined until a stream has shown one. */
  passMilliseconds(group: string): number | undefined;
  /** Time since that pass, 0 while one is overdue; `Infinity` before the first one. */
  passAgeMilliseconds(group: string): number;
  /** Time since the last event; `Infinity` before the first one. */
  millisecondsSinceEvent(group: string): number;
  /** Last known lengths of passes, by group. */
  listPasses(): ReadonlyMap<string, number>;
  /** Drops the state of groups that are no longer listed. */
  keepOnly(servers: ReadonlyMap<string, BackendServer>): void;
}

interface GroupRecord {
  meanMilliseconds: number;
  lastEventAt: number;
  lastGapAt: number;
  /** Begun attempts whose next event is due. */
  waitingAttempts: number;
}

/**
 * Time constant of the mean: passes are uneven for some tenths of a second after a shift of the
 * demand.
 */
const MEAN_MILLISECONDS = 300;
/** After a longer time without events, the mean starts anew. */
const MAXIMUM_AGE_MILLISECONDS = 1500;

/** About two long passes. */
const RECENT_MILLISECONDS = 250;

/** Length of a pass of the group; undefined without one in the last moments. */
export function findRecentPass(
  passes: Pick<GroupPassMeter, 'passMilliseconds' | 'passAgeMilliseconds'>,
  group: string,
): number | undefined {
  if (passes.passAgeMilliseconds(group) > RECENT_MILLISECONDS) return undefined;
  return passes.passMilliseconds(group);
}

const NO_GROUP_WATCH: EventGapWatch = {
  onEvent: () => undefined,
  onPause: () => undefined,
  onEnd: () => undefined,
};

export function createGroupPassMeter(now: () => number): GroupPassMeter {
  const groups = new Map<string, GroupRecord>();

  function recordOf(group: string): GroupRecord {
    let record = groups.get(group);
    if (record === undefined) {
      record = {
        meanMilliseconds: 0,
        lastEventAt: -Infinity,
        lastGapAt: -Infinity,
        waitingAttempts: 0,
      };
      groups.set(group, record);
    }
    return record;
  }

  function recordGap(group: string, gapMilliseconds: number): void {
    const record = recordOf(group);
    const at = now();
    record.lastEventAt = at;
    const isOutdated = at - record.lastGapAt > MAXIMUM_AGE_MILLISECONDS;
    const weight = isOutdated ? 1 : 1 - Math.exp(-gapMilliseconds / MEAN_MILLISECONDS);
    record.meanMilliseconds += (gapMilliseconds - record.meanMilliseconds) * weight;
    record.lastGapAt = at;
  }

  /** For how long begun streams of the group have been waiting for an event. */
  function overdueMilliseconds({ waitingAttempts, lastEventAt }: GroupRecord): number {
    return waitingAttempts > 0 ? now() - lastEventAt : 0;
  }

  function passMilliseconds(group: string): number | undefined {
    const record = groups.get(group);
    if (record === undefined) return undefined;
    return Math.max(record.meanMilliseconds, overdueMilliseconds(record)) || undefined;
  }

  return {
    watch(group) {
      if (group === undefined) return NO_GROUP_WATCH;
      let lastEventAt: number | undefined;

      function stopWaiting(): void {
        if (lastEventAt !== undefined) recordOf(group ?? '').waitingAttempts -= 1;
        lastEventAt = undefined;
      }

      return {
        onEvent() {
          const at = now();
          const gap = lastEventAt === undefined ? undefined : at - lastEventAt;
          const record = recordOf(group);
          if (gap === undefined) record.waitingAttempts += 1;
          else recordGap(group, gap);
          record.lastEventAt = at;
          lastEventAt = at;
          return gap;
        },
        onPause: stopWaiting,
        onEnd: stopWaiting,
      };
    },
    recordGap,
    passMilliseconds,
    listPasses() {
      const passes = new Map<string, number>();
      for (const group of groups.keys()) {
        const milliseconds = passMilliseconds(group);
        if (milliseconds !== undefined) passes.set(group, milliseconds);
      }
      return passes;
    },
    passAgeMilliseconds(group) {
      const record = groups.get(group);
      if (record === undefined) return Infinity;
      const isOverdue = overdueMilliseconds(record) > record.meanMilliseconds;
      return isOverdue ? 0 : now() - record.lastGapAt;
    },
    millisecondsSinceEvent: (group) => now() - (groups.get(group)?.lastEventAt ?? -Infinity),
    keepOnly(servers) {
      const listed = new Set<string>();
      for (const { groupRank } of servers.values()) {
        if (groupRank !== undefined) listed.add(groupRank.group);
      }
      for (const [group, { waitingAttempts }] of groups) {
        if (!listed.has(group) && waitingAttempts === 0) groups.delete(group);
      }
    },
  };
}
