import { createSilentLogger } from '@lapisbridge/logger';
import { OrderOutcome, RankOrderKind } from '@lapisbridge/placement';
import type { GroupMap, RankOrder, RankReport } from '@lapisbridge/placement';
import { describe, expect, it } from 'vitest';

import { createHoldWatchdog } from './hold-watchdog.js';
import type { HoldWatchdog } from './hold-watchdog.js';

const PROFILE = { sets: 1, experts: 9, placesPerRank: 4, newPerRank: 1 };
const OWN = [2, 5, 7, 8];
const HELD: RankReport = {
  group: 'group',
  rank: 1,
  size: 3,
  epoch: 4,
  isOpen: true,
  step: 104,
  activeVersion: 5004,
  preparedVersion: 5006,
  armed: undefined,
  heldStep: 105,
  pace: 1,
  running: 1,
  waiting: 0,
};

interface Scene {
  readonly watchdog: HoldWatchdog;
  readonly orders: RankOrder[];
  report: RankReport;
  time: number;
  outcome: OrderOutcome;
}

function createScene(): Scene {
  const scene: Scene = {
    orders: [],
    report: HELD,
    time: 0,
    outcome: OrderOutcome.Accepted,
    watchdog: createHoldWatchdog({
      engine: {
        report: async () => scene.report,
        counts: async () => undefined,
        map: async () => ({ version: 5004, experts: [OWN] }),
        async order(_, order) {
          scene.orders.push(order);
          if (scene.outcome === OrderOutcome.Accepted && order.kind === RankOrderKind.Prepare) {
            scene.report = { ...scene.report, preparedVersion: order.version };
          }
          return scene.outcome;
        },
      },
      backendServer: { host: '10.0.0.1', port: 80 },
      logger: createSilentLogger(),
      now: () => scene.time,
      profile: () => PROFILE,
    }),
  };
  return scene;
}

async function advance(scene: Scene, milliseconds: number): Promise<void> {
  scene.time += milliseconds;
  await scene.watchdog.onReport(scene.report);
}

describe('hold that keeps the group waiting', () => {
  it('is released after its map was voided, when no map is armed', async () => {
    const scene = createScene();
    await advance(scene, 0);
    expect(scene.orders).toEqual([]);
    await advance(scene, 300);
    const [prepare, release] = scene.orders;
    expect(prepare).toMatchObject({ kind: RankOrderKind.Prepare, epoch: 4, version: 5007 });
    expect(release).toEqual({ kind: RankOrderKind.Release, epoch: 4, step: 105 });
  });

  it('is not released while its map cannot be voided', async () => {
    const scene = createScene();
    scene.outcome = OrderOutcome.Refused;
    await advance(scene, 0);
    await advance(scene, 300);
    await advance(scene, 25);
    const kinds = scene.orders.map(({ kind }) => kind);
    expect(kinds).toEqual([RankOrderKind.Prepare, RankOrderKind.Prepare]);
  });

  it('is timed separately from the hold before it', async () => {
    const scene = createScene();
    await advance(scene, 0);
    await advance(scene, 200);
    scene.report = { ...HELD, step: 107, heldStep: 108 };
    await advance(scene, 200);
    await advance(scene, 200);
    expect(scene.orders).toEqual([]);
  });

  it('is voided with a map that the engine accepts', async () => {
    const scene = createScene();
    await advance(scene, 0);
    await advance(scene, 300);
    const [prepare] = scene.orders;
    const map: GroupMap = prepare?.kind === RankOrderKind.Prepare ? prepare.map : { sets: [] };
    const ranks = map.sets[0]?.experts ?? [];
    expect(ranks).toHaveLength(3);
    expect(ranks[1]).toEqual(OWN);
    expect(new Set(ranks.flat()).size).toBe(PROFILE.experts);
    for (const held of ranks) expect(held.length).toBeLessThanOrEqual(PROFILE.placesPerRank);
  });
});
