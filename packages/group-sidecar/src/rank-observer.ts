/**
 * Watches the backend server beside this sidecar: its state several times a second, and what
 * its requests chose at the pace that the leader can read.
 */
import { createGrowthMeter, planPace } from '@lapisbridge/group-leader';
import type { CountGrowth, RankAddress, RankEngine } from '@lapisbridge/group-leader';
import type { Logger } from '@lapisbridge/logger';
import type { RankReport } from '@lapisbridge/placement';

export interface RankObserverOptions {
  readonly engine: RankEngine;
  readonly backendServer: RankAddress;
  readonly logger: Logger;
  now(): number;
  /** The group was lost or is back, as this rank sees it. */
  onOpenChanged(): void;
  onGrowth(growth: CountGrowth): void;
}

export interface RankObserver {
  /** Undefined while the backend server does not answer. */
  report(): RankReport | undefined;
  /** Reads a fresh report. Rejects when the backend server does not answer. */
  refresh(): Promise<void>;
  start(): void;
}

const REPORT_MILLISECONDS = 100;

export function createRankObserver(options: RankObserverOptions): RankObserver {
  const { engine, backendServer, logger, now } = options;
  const meter = createGrowthMeter();
  let own: RankReport | undefined;
  let countedAt = -Infinity;

  async function refresh(): Promise<void> {
    const report = await engine.report(backendServer);
    const hasChanged = report?.isOpen !== own?.isOpen;
    own = report;
    if (hasChanged) options.onOpenChanged();
  }

  async function count(): Promise<void> {
    const pause = planPace(own?.size ?? 0).counts - REPORT_MILLISECONDS / 2;
    if (now() - countedAt < pause) return;
    const counts = await engine.counts(backendServer);
    countedAt = now();
    const growth = counts === undefined ? undefined : meter.note(counts);
    if (growth !== undefined) options.onGrowth(growth);
  }

  async function observe(): Promise<void> {
    try {
      await refresh();
      await count();
    } catch (thrown) {
      if (own !== undefined) logger.info('backend server lost', { reason: String(thrown) });
      own = undefined;
    }
    setTimeout(() => void observe(), REPORT_MILLISECONDS);
  }

  return {
    report: () => own,
    refresh,
    start: () => void observe(),
  };
}
