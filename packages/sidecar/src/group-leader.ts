/**
 * Leads a rank group while this sidecar holds the group's lease: brings every rank onto the
 * committed map, watches the load, and rolls out a new map when that pays.
 */
import { randomUUID } from 'node:crypto';

import type { PlacementPolicy } from '@lapisbridge/config';
import { createPeerCalls } from '@lapisbridge/instance';
import type { Instance } from '@lapisbridge/instance';
import { sleep } from '@lapisbridge/kernel';
import {
  createLease,
  createRollout,
  INITIAL_THRESHOLD_FACTOR,
  initialMap,
  MapDecisionKind,
  planThresholdFactor,
  planMap,
  RankStep,
  RolloutOutcome,
  smoothTokens,
} from '@lapisbridge/placement';
import type {
  ExpertMap,
  MapPolicy,
  MapRecord,
  RankAnswer,
  RankOrderMessage,
} from '@lapisbridge/placement';
import { InstanceState } from '@lapisbridge/types';
import type { InstanceRecord, RankPlace } from '@lapisbridge/types';
import { MessageKind } from '@lapisbridge/wire';
import type { RankOrder } from '@lapisbridge/wire';

import type { RankAgent } from './rank-agent.js';
import type { RankStatistics } from './rank-engine.js';

export interface GroupLeaderOptions {
  readonly instance: Instance;
  readonly place: RankPlace;
  readonly agent: RankAgent;
  policy(): PlacementPolicy;
}

export interface GroupLeader {
  start(): void;
  stop(): void;
}

/** Only the first few live ranks watch the lease, so that reads do not grow with the group. */
const CANDIDATES = 3;
/** Renewals within one lease time. */
const RENEWALS = 3;
/** Spare slots of a rank above an even share, for replicas of hot experts. */
const SPARE_SLOTS = 1;

export function createGroupLeader(options: GroupLeaderOptions): GroupLeader {
  const { instance, place, agent } = options;
  const { logger, membership, platform, clock, random, self } = instance;
  const { environment } = self;
  let stopped = false;
  let smoothed: number[] | undefined;
  let previous: ExpertMap | undefined;
  let caution = INITIAL_THRESHOLD_FACTOR;
  let lastWindowAt = -Infinity;
  let orderId = 0;
  const peerCalls = createPeerCalls(() => instance.hello());
  const statistics = new Map<number, RankStatistics>();

  function recordOf(rank: number): InstanceRecord | undefined {
    if (rank === place.rank) return self;
    for (const { record, state } of membership.members()) {
      const other = record.backendServer?.rankPlace;
      const same = other?.group === place.group && other.rank === rank;
      if (same && state !== InstanceState.Dead) return record;
    }
    return undefined;
  }

  function isCandidate(): boolean {
    let before = 0;
    for (let rank = 0; rank < place.rank; rank += 1) {
      if (recordOf(rank) !== undefined) before += 1;
    }
    return before < CANDIDATES;
  }

  async function send(rank: number, given: RankOrderMessage): Promise<RankAnswer> {
    orderId += 1;
    const order: RankOrder = {
      kind: MessageKind.RankOrder,
      orderId,
      group: place.group,
      step: given.step,
      fencingNumber: given.fencingNumber,
      rollout: given.rollout,
      mapVersion: given.mapVersion,
      // Only preparing needs the map, and every rank is asked in every window.
      map: given.step === RankStep.Prepare ? JSON.stringify(given.map) : '',
    };
    const record = recordOf(rank);
    if (record === undefined) throw new Error(`rank ${rank} is not there`);
    const reply =
      rank === place.rank ? await agent.obey(order) : await peerCalls.order(record, order);
    if (given.step === RankStep.Query && reply.statistics !== '') {
      statistics.set(rank, JSON.parse(reply.statistics) as RankStatistics);
    }
    return reply;
  }

  function createParts(): {
    readonly lease: ReturnType<typeof createLease>;
    readonly rollout: ReturnType<typeof createRollout>;
  } {
    const lease = createLease({
      table: platform.table,
      environment,
      group: place.group,
      holder: self.instanceId,
      leaseMilliseconds: options.policy().leaseMilliseconds,
      createNonce: randomUUID,
    });
    const rollout = createRollout({
      table: platform.table,
      environment,
      group: place.group,
      ranks: place.size,
      send,
      lease: () => lease.renewOrAcquire(clock()),
      onCommitted: () => lease.recordOwnWrite(),
    });
    return { lease, rollout };
  }

  const { lease, rollout } = createParts();

  function mapPolicy(): MapPolicy {
    const policy = options.policy();
    return { ...policy, slotsPerRank: Math.ceil(policy.experts / place.size) + SPARE_SLOTS };
  }

  function sumTokens(): number[] {
    const sum = new Array<number>(options.policy().experts).fill(0);
    for (const { tokens } of statistics.values()) {
      for (const [expert, count] of tokens.entries()) sum[expert] = (sum[expert] ?? 0) + count;
    }
    return sum;
  }

  function logDecision(choice: string, reason: string): void {
    logger.decision({ kind: 'placement', subject: place.group, choice, reason });
  }

  async function planWindow(committed: MapRecord): Promise<void> {
    if (statistics.size < place.size) return;
    const tokens = sumTokens();
    smoothed = smoothTokens(smoothed, tokens, options.policy().smoothing);
    const speeds = Array.from(
      { length: place.size },
      (_, rank) => statistics.get(rank)?.speed ?? 1,
    );
    caution = planThresholdFactor(caution, committed.map, previous, { tokens, speeds });
    previous = undefined;
    const load = { tokens: smoothed, speeds };
    const decision = planMap(committed.map, load, mapPolicy(), caution);
    const skew = `skew ${decision.skewBefore.toFixed(3)} -> ${decision.skewAfter.toFixed(3)}`;
    logDecision(decision.kind, `${decision.reason}; ${skew}; ${decision.moves} moves`);
    if (decision.kind === MapDecisionKind.Keep) return;
    const outcome = await rollout.rollOut(decision.map);
    if (outcome === RolloutOutcome.Done) previous = committed.map;
    logDecision('rollout', outcome);
  }

  /**
   * Once in each window every rank is asked for its state and its load; between windows only the
   * lease is renewed, since asking a hundred ranks costs this instance more than anything else.
   */
  async function lead(): Promise<void> {
    const policy = options.policy();
    if (clock() - lastWindowAt < policy.windowMilliseconds) return;
    lastWindowAt = clock();
    const committed = await rollout.readCommitted();
    if (committed === undefined) {
      const outcome = await rollout.rollOut(initialMap(policy.experts, place.size));
      logDecision('first map', outcome);
      return;
    }
    const outcome = await rollout.reconcile();
    if (outcome === RolloutOutcome.Done) {
      await planWindow(committed);
      return;
    }
    logDecision('reconcile', outcome);
    // A group that is not on one map stands still: look again with the next renewal.
    lastWindowAt = -Infinity;
  }

  async function tick(): Promise<void> {
    if (!isCandidate() || instance.state.configuration === undefined) return;
    const held = await lease.renewOrAcquire(clock());
    if (held === undefined) {
      smoothed = undefined;
      lastWindowAt = -Infinity;
      return;
    }
    await lead();
  }

  async function loop(): Promise<void> {
    while (!stopped) {
      await tick().catch((thrown: unknown) => {
        logger.warn('leading failed', { reason: String(thrown) });
      });
      const pause = options.policy().leaseMilliseconds / RENEWALS;
      await sleep(pause * (0.75 + random() / 2));
    }
  }

  return {
    start() {
      void loop();
    },
    stop() {
      stopped = true;
      peerCalls.stop();
    },
  };
}
