/**
 * Simulated engines of a lock-step group, for tests. They run one pass after the other, execute
 * orders, and check that all ranks start each pass with the same map. Time is that of the (fake)
 * timers.
 */
import { OrderOutcome, RankOrderKind } from '@lapisbridge/placement';
import type { ArmedMap, GroupMap, RankOrder, RankReport } from '@lapisbridge/placement';

export interface SimulatedEngines {
  report(rank: number): RankReport;
  /** Experts that a rank holds, by set. */
  experts(rank: number): readonly (readonly number[])[];
  order(rank: number, order: RankOrder): OrderOutcome;
  /** Starts running passes. */
  start(): void;
  stop(): void;
  /**
   * Longest time from the start of one pass to the start of the next, in milliseconds, since
   * `since`.
   */
  longestPauseMilliseconds(since: number): number;
  /**
   * Active versions of the ranks when a pass first started with differing ones; undefined
   * otherwise.
   */
  mixedVersions(): readonly number[] | undefined;
}

interface SimulatedRank {
  active: { readonly version: number; readonly map: GroupMap };
  prepared: { readonly version: number; readonly map: GroupMap; readonly at: number } | undefined;
  armed: ArmedMap | undefined;
  heldStep: number | undefined;
  highestVersion: number;
}

const GROUP = 'group';
const EPOCH = 1;
const PASS_MILLISECONDS = 60;
/** Time to load experts that the rank does not hold yet. */
const LOAD_MILLISECONDS = 150;

export function createSimulatedEngines(
  ranks: number,
  first: GroupMap,
  now: () => number,
): SimulatedEngines {
  const simulatedRanks = Array.from({ length: ranks }, (): SimulatedRank => ({
    active: { version: 0, map: first },
    prepared: undefined,
    armed: undefined,
    heldStep: undefined,
    highestVersion: 0,
  }));
  const passStarts: number[] = [];
  let step = 0;
  let passEndsAt = 0;
  let mixedVersions: readonly number[] | undefined;
  let timer: NodeJS.Timeout | undefined;

  function rankAt(rank: number): SimulatedRank {
    const found = simulatedRanks[rank];
    if (found === undefined) throw new RangeError(`the group has ${ranks} ranks, not ${rank + 1}`);
    return found;
  }

  function beginPass(): void {
    if (now() < passEndsAt) return;
    const next = step + 1;
    if (simulatedRanks.some(({ heldStep }) => heldStep === next)) return;
    step = next;
    for (const rank of simulatedRanks) {
      if (rank.armed?.step !== step || rank.prepared === undefined) continue;
      rank.active = rank.prepared;
      rank.armed = undefined;
      rank.prepared = undefined;
    }
    const versions = simulatedRanks.map(({ active }) => active.version);
    if (new Set(versions).size > 1) mixedVersions ??= versions;
    passStarts.push(now());
    passEndsAt = now() + PASS_MILLISECONDS;
    timer = setTimeout(beginPass, PASS_MILLISECONDS);
  }

  function isLoaded(rank: number, map: GroupMap): boolean {
    const { active } = rankAt(rank);
    return map.sets.every(({ experts }, set) => {
      const held = new Set(active.map.sets[set]?.experts[rank]);
      return (experts[rank] ?? []).every((expert) => held.has(expert));
    });
  }

  function accepts(rank: number, order: RankOrder): boolean {
    const engine = rankAt(rank);
    if (order.epoch !== EPOCH) return false;
    switch (order.kind) {
      case RankOrderKind.Prepare: {
        const { version, map } = order;
        if (version <= engine.highestVersion || engine.armed !== undefined) return false;
        const at = now() + (isLoaded(rank, map) ? 0 : LOAD_MILLISECONDS);
        engine.highestVersion = version;
        engine.prepared = { version, map, at };
        return true;
      }
      case RankOrderKind.Arm: {
        const isPrepared =
          engine.prepared?.version === order.version && engine.prepared.at <= now();
        if (!isPrepared || order.step <= step) return false;
        engine.armed = { version: order.version, step: order.step };
        return true;
      }
      case RankOrderKind.Disarm:
        if (engine.armed?.version === order.version) engine.armed = undefined;
        return true;
      case RankOrderKind.Hold:
        if (order.step <= step || engine.heldStep !== undefined) return false;
        engine.heldStep = order.step;
        return true;
      case RankOrderKind.Release:
        if (engine.heldStep === order.step) engine.heldStep = undefined;
        beginPass();
        return true;
      default: {
        const unreachable: never = order;
        throw new Error(String(unreachable));
      }
    }
  }

  return {
    report(rank) {
      const { active, prepared, armed, heldStep } = rankAt(rank);
      return {
        group: GROUP,
        rank,
        size: ranks,
        epoch: EPOCH,
        isOpen: true,
        step,
        activeVersion: active.version,
        preparedVersion:
          prepared !== undefined && prepared.at <= now() ? prepared.version : undefined,
        armed,
        heldStep,
        pace: 1,
        running: 1,
        waiting: 0,
      };
    },
    experts: (rank) => rankAt(rank).active.map.sets.map(({ experts }) => experts[rank] ?? []),
    order: (rank, order) => (accepts(rank, order) ? OrderOutcome.Accepted : OrderOutcome.Refused),
    start: beginPass,
    stop: () => clearTimeout(timer),
    longestPauseMilliseconds(since) {
      let longest = 0;
      let last = since;
      for (const at of [...passStarts, now()]) {
        if (at < since) continue;
        longest = Math.max(longest, at - last);
        last = at;
      }
      return longest;
    },
    mixedVersions: () => mixedVersions,
  };
}
