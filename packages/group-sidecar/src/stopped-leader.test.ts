import { RankOrderKind } from '@lapisbridge/placement';
import type { RankOrder } from '@lapisbridge/placement';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { playGroup } from './played-group.js';
import type { PlayedGroup, PlayedNetwork } from './played-group.js';

const { network } = vi.hoisted((): { network: { current: PlayedNetwork | undefined } } => ({
  network: { current: undefined },
}));

function played(): PlayedNetwork {
  if (network.current === undefined) throw new Error('no group is played');
  return network.current;
}

vi.mock(import('@lapisbridge/json-call'), async (importOriginal) => ({
  ...(await importOriginal()),
  callJson: (call) => played().call(call),
}));
vi.mock(import('@lapisbridge/fleet'), async (importOriginal) => ({
  ...(await importOriginal()),
  createDatagramLink: (options) => played().createDatagramLink(options),
}));
vi.mock(import('@lapisbridge/group-leader'), async (importOriginal) => {
  const original = await importOriginal();
  return {
    ...original,
    createDemandWatch: () => played().createDemandWatch(),
    createRankLink: (options) =>
      played().wrapLink(options.engine, original.createRankLink(options)),
  };
});

const RANKS = 6;
/** Longer than a group may pause while one machine stands still. */
const STOP_MILLISECONDS = 4000;
/** Callers leave a stream after 2 s without an event, and a moved one has to be read anew. */
const LONGEST_PAUSE_MILLISECONDS = 600;

let group: PlayedGroup | undefined;

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
}

interface Outcome {
  /** Longest time between two passes while the machine stands still. */
  readonly pauseMilliseconds: number;
  readonly mixed: readonly number[] | undefined;
  /** Maps in force when the machine has gone on and another map was wanted. */
  readonly versions: ReadonlySet<number>;
}

/** Stops the leader's machine in the course of a rollout, and lets it go on later. */
async function stopLeader({ kind, count, delayMilliseconds }: StopPoint): Promise<Outcome> {
  let leader: number | undefined;
  let stoppedAt: number | undefined;
  let seen = 0;

  function onOrder(_: number, order: RankOrder): void {
    if (leader === undefined || stoppedAt !== undefined || order.kind !== kind) return;
    seen += 1;
    if (seen !== count) return;
    const stopped = leader;
    stoppedAt = Date.now() + delayMilliseconds;
    if (delayMilliseconds === 0) group?.stop(stopped);
    else setTimeout(() => group?.stop(stopped), delayMilliseconds);
  }

  group = playGroup({ seed: 1, ranks: RANKS, onOrder });
  network.current = group.network;
  const { engines } = group;
  await group.start();
  await vi.advanceTimersByTimeAsync(4000);
  leader = group.leader();
  expect(leader).toBeDefined();
  group.wantMap();
  await vi.advanceTimersByTimeAsync(1500);
  expect(stoppedAt).toBeDefined();
  await vi.advanceTimersByTimeAsync(STOP_MILLISECONDS);
  const pauseMilliseconds = engines.longestPause(stoppedAt ?? 0);
  group.resume(leader ?? 0);
  await vi.advanceTimersByTimeAsync(3000);
  group.wantMap();
  await vi.advanceTimersByTimeAsync(3000);
  const versions = new Set(
    Array.from({ length: RANKS }, (_, rank) => engines.report(rank).activeVersion),
  );
  return { pauseMilliseconds, mixed: engines.mixed(), versions };
}

describe('a group whose leader stops in a rollout', () => {
  const points: StopPoint[] = [];
  for (const delayMilliseconds of [0, 5, 10]) {
    points.push({ kind: RankOrderKind.Hold, count: 1, delayMilliseconds });
  }
  // The first rank that is armed is the one that holds; the next ones are armed together.
  for (const delayMilliseconds of [5, 10, 20]) {
    points.push({ kind: RankOrderKind.Arm, count: 2, delayMilliseconds });
  }

  it.each(points)('goes on: $kind $count, after $delayMilliseconds ms', async (point) => {
    const outcome = await stopLeader(point);
    expect(outcome.mixed).toBeUndefined();
    expect(outcome.pauseMilliseconds).toBeLessThan(LONGEST_PAUSE_MILLISECONDS);
    expect(outcome.versions.size).toBe(1);
    expect(outcome.versions).not.toContain(0);
  });
});
