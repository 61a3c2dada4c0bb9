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
/** Longer than a group may pause while one machine stands still. */
const STOP_MILLISECONDS = 4000;
/** Callers leave a stream after 2 s without an event, and a moved one has to be read anew. */
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
  /** Orders of that kind that have been carried out. */
  readonly count: number;
  readonly delayMilliseconds: number;
  /** Time before the rollout, which decides how long before the stop the leader was heard last. */
  readonly settleMilliseconds: number;
}

interface Outcome {
  /** Longest time between two passes while the machine stands still. */
  readonly pauseMilliseconds: number;
  /** The same once it goes on. */
  readonly laterPauseMilliseconds: number;
  /** Versions that differed as a pass began. */
  readonly mixedVersions: readonly number[] | undefined;
  /** Maps in force when the machine has gone on and another map was wanted. */
  readonly versions: ReadonlySet<number>;
}

/** Stops the leader's machine in the course of a rollout, and lets it go on later. */
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

describe('a group whose leader stops in a rollout', () => {
  const points: readonly StopPoint[] = [
    // Nothing is armed.
    ...pointsAt(RankOrderKind.Hold, 1, [0, 5, 10]),
    // The rank that holds is armed, and no other.
    ...pointsAt(RankOrderKind.Arm, 1, [0, 3]),
    // All are armed, and the release is on its way.
    ...pointsAt(RankOrderKind.Arm, 2, [5, 10, 20]),
    ...pointsAt(RankOrderKind.Release, 1, [0, 10]),
  ];

  it.each(points)(
    'goes on: $kind $count, after $delayMilliseconds ms, of $settleMilliseconds',
    async (point) => {
      const outcome = await stopLeader(point);
      expect(outcome.mixedVersions).toBeUndefined();
      expect(outcome.pauseMilliseconds).toBeLessThan(LONGEST_PAUSE_MILLISECONDS);
      expect(outcome.laterPauseMilliseconds).toBeLessThan(LONGEST_PAUSE_MILLISECONDS);
      expect(outcome.versions.size).toBe(1);
      expect(outcome.versions).not.toContain(0);
    },
  );

  // All others are armed, and only its own rank can tell whether it is too.
  const unknown: readonly StopPoint[] = [
    ...pointsAt(RankOrderKind.Arm, 1, [5, 10]),
    ...pointsAt(RankOrderKind.Arm, 2, [0, 3]),
  ];

  it.each(unknown)(
    'keeps one map, and goes on with the machine: $kind $count, after $delayMilliseconds ms, of $settleMilliseconds',
    async (point) => {
      const outcome = await stopLeader(point);
      expect(outcome.mixedVersions).toBeUndefined();
      expect(outcome.laterPauseMilliseconds).toBeLessThan(LONGEST_PAUSE_MILLISECONDS);
      expect(outcome.versions.size).toBe(1);
      expect(outcome.versions).not.toContain(0);
    },
  );
});
