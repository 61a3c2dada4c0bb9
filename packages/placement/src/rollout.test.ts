/**
 * All ranks run each step with one expert map despite faults of leaders, ranks, orders and the
 * table.
 */
import { ResultCode } from '@lapisbridge/errors';
import { CallFate, createFakeTable } from '@lapisbridge/test-support';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import {
  createLease,
  createRollout,
  INITIAL_RANK_STATE,
  planRankOrder,
  RankStep,
} from './index.js';
import type { HeldLease, RankAnswer, RankOrderMessage, RankState, Rollout } from './index.js';

const RANKS = 3;
const ENVIRONMENT = 'test';
const GROUP = 'group';

/** A lock-step group: all ranks run each step together, and only while none is paused. */
function createGroup(): {
  readonly ranks: RankState[];
  handleOrder(rank: number, order: RankOrderMessage): RankAnswer;
  restart(rank: number, fencingNumber: number): void;
  step(): void;
  readonly violations: string[];
  readonly steps: { count: number };
} {
  const ranks: RankState[] = Array.from({ length: RANKS }, () => ({
    ...INITIAL_RANK_STATE,
    activeVersion: 1,
  }));
  const violations: string[] = [];
  const steps = { count: 0 };

  function step(): void {
    // A restarted rank has no map, and the group runs no step until it has the committed one.
    if (
      ranks.some(
        ({ pausedForRollout, activeVersion }) => pausedForRollout !== 0 || activeVersion === 0,
      )
    )
      return;
    steps.count += 1;
    const versions = new Set(ranks.map(({ activeVersion }) => activeVersion));
    if (versions.size > 1) violations.push([...versions].join(' and '));
  }

  return {
    ranks,
    violations,
    steps,
    step,
    handleOrder(rank, order) {
      const decision = planRankOrder(ranks[rank], order);
      ranks[rank] = decision.state;
      step();
      const { activeVersion, pausedForRollout } = decision.state;
      return { code: decision.code, activeVersion, paused: pausedForRollout !== 0 };
    },
    restart(rank, fencingNumber) {
      ranks[rank] = { ...INITIAL_RANK_STATE, fencingNumber };
    },
  };
}

enum OrderFate {
  Answered = 'answered',
  Lost = 'lost',
  AnswerLost = 'answerLost',
  /** Arrives twice, the second time much later. */
  Doubled = 'doubled',
}

const orderFates = fc.constantFrom(
  OrderFate.Answered,
  OrderFate.Answered,
  OrderFate.Answered,
  OrderFate.Answered,
  OrderFate.Answered,
  OrderFate.Lost,
  OrderFate.AnswerLost,
  OrderFate.Doubled,
);
const tableFates = fc.constantFrom(
  CallFate.Answered,
  CallFate.Answered,
  CallFate.Answered,
  CallFate.Answered,
  CallFate.AnswerLost,
  CallFate.Late,
  CallFate.Dropped,
);

let nonce = 0;

describe('a rollout', () => {
  it('never runs a step with two maps, and ends with the committed one', async () => {
    // Two leaders overlap: one was frozen past its lease and continues with old orders. Orders are
    // lost, duplicated and delayed, ranks restart, and the table loses answers. A step with two
    // maps would send tokens to ranks that do not hold their experts, and corrupt the answers.
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        fc.infiniteStream(orderFates),
        fc.infiniteStream(tableFates),
        fc.array(fc.nat(RANKS - 1), { maxLength: 2 }),
        async (scheduler, fates, writeFates, restarts) => {
          let calm = false;
          const group = createGroup();
          const pause = (label: string): Promise<unknown> =>
            scheduler.schedule(Promise.resolve(), label);
          const table = createFakeTable({
            writeFate: () => (calm ? CallFate.Answered : (writeFates.next().value as CallFate)),
            readFate: () => (calm ? CallFate.Answered : (writeFates.next().value as CallFate)),
            pause,
          });
          const map = { experts: [[0], [1], [2]] };
          const first = { version: 1, map, fencingNumber: 0 };
          table.state.apply({ puts: [{ key: 'groups/test/group/map', value: first }] });

          async function send(rank: number, order: RankOrderMessage): Promise<RankAnswer> {
            const fate = calm ? OrderFate.Answered : (fates.next().value as OrderFate);
            await pause(`order ${order.step} to ${rank}`);
            if (fate === OrderFate.Lost) throw new Error('lost');
            const answer = group.handleOrder(rank, order);
            if (fate === OrderFate.Doubled) {
              void pause('late double').then(() => group.handleOrder(rank, order));
            }
            await pause('answer');
            if (fate === OrderFate.AnswerLost) throw new Error('answer lost');
            return answer;
          }

          function createLeader(holder: string): {
            rollout: Rollout;
            lead(at: number): Promise<HeldLease | undefined>;
          } {
            let now = 0;
            const lease = createLease({
              table,
              environment: ENVIRONMENT,
              group: GROUP,
              holder,
              leaseMilliseconds: 0,
              createNonce() {
                nonce += 1;
                return `nonce-${nonce}`;
              },
            });
            const rollout = createRollout({
              table,
              environment: ENVIRONMENT,
              group: GROUP,
              ranks: RANKS,
              send,
              lease: () => lease.renewOrAcquire(now),
              onCommitted: () => lease.recordOwnWrite(),
            });
            return {
              rollout,
              async lead(at) {
                now = at;
                await lease.renewOrAcquire(now);
                now += 1;
                return lease.renewOrAcquire(now);
              },
            };
          }

          async function run(holder: string, now: number): Promise<void> {
            const leader = createLeader(holder);
            if ((await leader.lead(now)) === undefined) return;
            await leader.rollout.reconcile();
            await leader.rollout.rollOut({ experts: [[2], [0], [1]] });
          }

          const work = [run('one', 1), run('two', 10)];
          for (const rank of restarts) {
            work.push(
              (async () => {
                await pause('restart');
                const lease = table.state.read('groups/test/group/lease');
                const { fencingNumber } = (lease?.value ?? { fencingNumber: 0 }) as HeldLease;
                group.restart(rank, fencingNumber);
              })(),
            );
          }
          await scheduler.waitFor(Promise.all(work));
          await scheduler.waitAll();
          calm = true;
          const last = createLeader('last');
          const finish = (async () => {
            await last.lead(100);
            await last.rollout.reconcile();
          })();
          await scheduler.waitFor(finish);
          await scheduler.waitAll();
          group.step();
          expect(group.violations).toEqual([]);
          const committed = table.state.read('groups/test/group/map')?.value as { version: number };
          for (const { activeVersion, pausedForRollout } of group.ranks) {
            expect([activeVersion, pausedForRollout]).toEqual([committed.version, 0]);
          }
          expect(group.steps.count).toBeGreaterThan(0);
        },
      ),
      { numRuns: 400 },
    );
  });

  it('refuses the orders of a leader that was frozen past its lease', () => {
    const order = { rollout: 1_000_001, mapVersion: 2 };
    const fenced = planRankOrder(INITIAL_RANK_STATE, {
      ...order,
      step: RankStep.Query,
      fencingNumber: 2,
    });
    for (const step of [RankStep.Pause, RankStep.Switch, RankStep.Resume, RankStep.Abort]) {
      const stale = planRankOrder(fenced.state, { ...order, step, fencingNumber: 1 });
      expect(stale.code).toBe(ResultCode.StaleFencingNumber);
      expect(stale.state).toEqual(fenced.state);
    }
  });
});
