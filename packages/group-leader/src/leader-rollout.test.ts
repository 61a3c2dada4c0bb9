import { createSilentLogger } from '@lapisbridge/logger';
import { OrderOutcome, RankOrderKind } from '@lapisbridge/placement';
import type { GroupMap, RankOrder, RankReport } from '@lapisbridge/placement';
import { afterEach, expect, it, vi } from 'vitest';

import { createGroupLeader } from './group-leader.js';
import type { GroupLeader, RankOverview } from './group-leader.js';
import type { RankTarget } from './rank-client.js';

const RANKS = 4;
const PROFILE = { sets: 1, experts: RANKS, placesPerRank: 2, newPerRank: 1 };
const NEXT_MAP: GroupMap = { sets: [{ experts: [[0, 1], [1], [2], [3]] }] };

let leader: GroupLeader | undefined;

afterEach(() => leader?.stop());

/** Creates the engines of a group, which execute every order at once. */
function createEngines(): { reports: RankReport[]; execute(rank: number, order: RankOrder): void } {
  const reports = Array.from({ length: RANKS }, (_, rank): RankReport => ({
    group: 'group',
    rank,
    size: RANKS,
    epoch: 1,
    isOpen: true,
    step: 10,
    activeVersion: 0,
    preparedVersion: undefined,
    armed: undefined,
    heldStep: undefined,
    pace: 1,
    running: 0,
    waiting: 0,
  }));

  /** The armed ranks switch maps with the pass that was held. */
  function switchArmedRanks(): void {
    for (const [rank, report] of reports.entries()) {
      const { armed } = report;
      if (armed === undefined) continue;
      const activeVersion = armed.version;
      reports[rank] = { ...report, activeVersion, armed: undefined, step: armed.step };
    }
  }

  return {
    reports,
    execute(rank, order) {
      const report = reports[rank];
      if (report === undefined) return;
      switch (order.kind) {
        case RankOrderKind.Prepare:
          reports[rank] = { ...report, preparedVersion: order.version };
          break;
        case RankOrderKind.Hold:
          reports[rank] = { ...report, heldStep: order.step };
          break;
        case RankOrderKind.Arm:
          reports[rank] = { ...report, armed: { version: order.version, step: order.step } };
          break;
        case RankOrderKind.Disarm:
          reports[rank] = { ...report, armed: undefined };
          break;
        case RankOrderKind.Release:
          reports[rank] = { ...report, heldStep: undefined };
          switchArmedRanks();
          break;
        default: {
          const unreachable: never = order;
          throw new Error(String(unreachable));
        }
      }
    },
  };
}

const TARGETS: ReadonlyMap<number, RankTarget> = new Map(
  Array.from({ length: RANKS }, (_, rank) => {
    const address = { host: `10.0.0.${rank}`, port: 80 };
    return [rank, { sidecar: address, backendServer: address }];
  }),
);

it('sends an unanswered order again while the group is held', async () => {
  // A rank does not answer its arm order. No pass starts until it is armed, so every stream of the
  // group pauses for as long as the leader waits for that one answer.
  const engines = createEngines();
  const unanswered = new Set([2]);
  const armedRanks: number[] = [];
  let isPlanned = false;
  leader = createGroupLeader({
    leadership: {
      fencingNumber: () => 5,
      previousLeaderRank: () => undefined,
      unresponsiveLeaderHost: () => undefined,
      acceptFencingNumber: () => true,
      onLeaderHeartbeat: () => undefined,
      claimOrVerify: async () => undefined,
      requireVerification: () => undefined,
    },
    rankClient: {
      report: async ({ backendServer }) => engines.reports[Number(backendServer.host.at(-1))],
      map: async () => undefined,
      markUnreachable: () => undefined,
      order({ backendServer }, { order }) {
        const rank = Number(backendServer.host.at(-1));
        if (order.kind === RankOrderKind.Arm) {
          armedRanks.push(rank);
          if (unanswered.delete(rank)) {
            return new Promise(() => {
              // Never settles: the engine does not answer.
            });
          }
        }
        engines.execute(rank, order);
        return Promise.resolve(OrderOutcome.Accepted);
      },
    },
    mapPlanner: {
      isDue: () => !isPlanned,
      async plan() {
        isPlanned = true;
        return NEXT_MAP;
      },
    },
    logger: createSilentLogger(),
    now: () => performance.now(),
    ownReport: () => engines.reports[0],
    targets: () => TARGETS,
    overviews() {
      const known = new Map<number, RankOverview>();
      for (const [rank, { pace, heldStep, armed }] of engines.reports.entries()) {
        known.set(rank, { pace, hasPendingOrder: heldStep !== undefined || armed !== undefined });
      }
      return known;
    },
    profile: () => PROFILE,
  });
  leader.start();
  await vi.waitFor(
    () => expect(engines.reports.map(({ activeVersion }) => activeVersion)).not.toContain(0),
    { timeout: 60_000, interval: 5 },
  );
  expect(armedRanks.filter((rank) => rank === 2)).toHaveLength(2);
  expect(new Set(engines.reports.map(({ activeVersion }) => activeVersion)).size).toBe(1);
});
