import { RankOrderKind } from '@lapisbridge/placement';
import type { RankOrder } from '@lapisbridge/placement';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createSimulatedGroup } from './simulated-group.js';
import type { SimulatedGroup, SimulatedNetwork } from './simulated-group.js';

const { network } = vi.hoisted((): { network: { current: SimulatedNetwork | undefined } } => ({
  network: { current: undefined },
}));

function currentNetwork(): SimulatedNetwork {
  if (network.current === undefined) throw new Error('no group is simulated');
  return network.current;
}

vi.mock(import('@lapisbridge/json-call'), async (importOriginal) => ({
  ...(await importOriginal()),
  callJson: (call) => currentNetwork().call(call),
}));
vi.mock(import('@lapisbridge/fleet'), async (importOriginal) => ({
  ...(await importOriginal()),
  createDatagramLink: (options) => currentNetwork().createDatagramLink(options),
}));
vi.mock(import('@lapisbridge/group-leader'), async (importOriginal) => {
  const original = await importOriginal();
  return {
    ...original,
    createMapPlanner: () => currentNetwork().createMapPlanner(),
    createRankClient: (options) =>
      currentNetwork().wrapRankClient(options.engine, original.createRankClient(options)),
  };
});

const RANKS = 6;
/** Time for which one machine is stopped; longer than a group may pause because of it. */
const STOP_MILLISECONDS = 4000;
/**
 * Callers leave a stream after 2 s without an event, and a stream that moves needs its prompt
 * processed again.
 */
const LONGEST_PAUSE_MILLISECONDS = 600;

let group: SimulatedGroup | undefined;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  group?.end();
  group = undefined;
  vi.useRealTimers();
});

interface StopPoint {
  readonly kind: RankOrderKind;
  /** Number of orders of that kind that have been executed. */
  readonly count: number;
  readonly delayMilliseconds: number;
  /** Time before the rollout. Determines how long before the stop the last heartbeat was sent. */
  readonly settleMilliseconds: number;
}

interface Outcome {
  /** Longest time between two passes while the machine is stopped. */
  readonly pauseMilliseconds: number;
  /** Longest time between two passes after the machine has resumed. */
  readonly laterPauseMilliseconds: number;
  /** Active versions of the ranks when a pass started with differing ones. */
  readonly mixedVersions: readonly number[] | undefined;
  /** Active versions after the machine has resumed and another map was requested. */
  readonly versions: ReadonlySet<number>;
}

/** Stops the leader's machine in the course of a rollout, and resumes it later. */
async function stopLeader({
  kind,
  count,
  delayMilliseconds,
  settleMilliseconds,
}: StopPoint): Promise<Outcome> {
  let leader: number | undefined;
  let stoppedAt: number | undefined;
  let seen = 0;

  function onOrder(_: number, order: RankOrder): void {
    if (leader === undefined || stoppedAt !== undefined || order.kind !== kind) return;
    seen += 1;
    if (seen !== count) return;
    const stopped = leader;
    stoppedAt = performance.now() + delayMilliseconds;
    if (delayMilliseconds === 0) group?.stop(stopped);
    else setTimeout(() => group?.stop(stopped), delayMilliseconds);
  }

  group = createSimulatedGroup({ seed: 1, ranks: RANKS, onOrder });
  network.current = group.network;
  const { engines } = group;
  await group.start();
  await vi.advanceTimersByTimeAsync(settleMilliseconds);
  leader = group.leader();
  expect(leader).toBeDefined();
  group.requestMap();
  await vi.advanceTimersByTimeAsync(1500);
  expect(stoppedAt).toBeDefined();
  await vi.advanceTimersByTimeAsync(STOP_MILLISECONDS);
  const pauseMilliseconds = engines.longestPauseMilliseconds(stoppedAt ?? 0);
  group.resume(leader ?? 0);
  await vi.advanceTimersByTimeAsync(100);
  const resumedAt = performance.now();
  await vi.advanceTimersByTimeAsync(3000);
  group.requestMap();
  await vi.advanceTimersByTimeAsync(3000);
  const versions = new Set(
    Array.from({ length: RANKS }, (_, rank) => engines.report(rank).activeVersion),
  );
  return {
    pauseMilliseconds,
    mixedVersions: engines.mixedVersions(),
    laterPauseMilliseconds: engines.longestPauseMilliseconds(resumedAt),
    versions,
  };
}

function pointsAt(
  kind: RankOrderKind,
  count: number,
  delays: readonly number[],
): readonly StopPoint[] {
  return delays.flatMap((delayMilliseconds) =>
    [4000, 4080].map((settleMilliseconds) => ({
      kind,
      count,
      delayMilliseconds,
      settleMilliseconds,
    })),
  );
}

describe('group whose leader stops during a rollout', () => {
  const points: readonly StopPoint[] = [
    // No rank is armed.
    ...pointsAt(RankOrderKind.Hold, 1, [0, 5, 10]),
    // Only the rank that holds the group is armed.
    ...pointsAt(RankOrderKind.Arm, 1, [0, 3]),
    // All ranks are armed, and the release is in transit.
    ...pointsAt(RankOrderKind.Arm, 2, [5, 10, 20]),
    ...pointsAt(RankOrderKind.Release, 1, [0, 10]),
  ];

  it.each(points)(
    'continues: $kind $count, stopped after $delayMilliseconds ms, rollout at $settleMilliseconds ms',
    async (point) => {
      const outcome = await stopLeader(point);
      expect(outcome.mixedVersions).toBeUndefined();
      expect(outcome.pauseMilliseconds).toBeLessThan(LONGEST_PAUSE_MILLISECONDS);
      expect(outcome.laterPauseMilliseconds).toBeLessThan(LONGEST_PAUSE_MILLISECONDS);
      expect(outcome.versions.size).toBe(1);
      expect(outcome.versions).not.toContain(0);
    },
  );

  // All other ranks are armed, and only the leader's own rank can tell whether it is armed too.
  const unknown: readonly StopPoint[] = [
    ...pointsAt(RankOrderKind.Arm, 1, [5, 10]),
    ...pointsAt(RankOrderKind.Arm, 2, [0, 3]),
  ];

  it.each(unknown)(
    'keeps one map, and continues once the machine resumes: $kind $count, stopped after $delayMilliseconds ms, rollout at $settleMilliseconds ms',
    async (point) => {
      const outcome = await stopLeader(point);
      expect(outcome.mixedVersions).toBeUndefined();
      expect(outcome.laterPauseMilliseconds).toBeLessThan(LONGEST_PAUSE_MILLISECONDS);
      expect(outcome.versions.size).toBe(1);
      expect(outcome.versions).not.toContain(0);
    },
  );
});
