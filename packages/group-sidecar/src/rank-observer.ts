/**
 * Watches the backend server beside this sidecar: its state several times a second, and what
 * its requests chose at the pace that the leader can read.
 */
import { createCountDeltaTracker, planReportingIntervals } from '@lapisbridge/group-leader';
import type { CountDelta, RankAddress, RankEngine } from '@lapisbridge/group-leader';
import type { Logger } from '@lapisbridge/logger';
import type { RankReport } from '@lapisbridge/placement';

export interface RankObserverOptions {
  readonly engine: RankEngine;
  readonly backendServer: RankAddress;
  readonly logger: Logger;
  now(): number;
  /** Whether this sidecar leads its group, and so must follow the passes closely. */
  isLeading(): boolean;
  /** The group was lost or is back, as this rank sees it. */
  onOpenChanged(): void;
  onGrowth(growth: CountDelta): void;
  /** A report was read when it was due. */
  onReport(report: RankReport): Promise<void>;
}

export interface RankObserver {
  /** Undefined while the backend server does not answer. */
  report(): RankReport | undefined;
  /** Reads a fresh report. Rejects when the backend server does not answer. */
  refresh(): Promise<void>;
  start(): void;
}

/** Between two reads while the backend server does not answer, or while this sidecar leads. */
const CLOSE_MILLISECONDS = 100;
/** The same while a hold stands here, which must not keep the group for long. */
const HELD_MILLISECONDS = 25;

export function createRankObserver(options: RankObserverOptions): RankObserver {
  const { engine, backendServer, logger, now } = options;
  const meter = createCountDeltaTracker();
  let own: RankReport | undefined;
  let countedAt = -Infinity;
  /** Pass of the last counts: without a pass nothing was chosen. */
  let countedStep = -1;

  async function refresh(): Promise<void> {
    const report = await engine.report(backendServer);
    const hasChanged = report?.isOpen !== own?.isOpen;
    own = report;
    if (hasChanged) options.onOpenChanged();
  }

  async function count(): Promise<void> {
    if (own === undefined) return;
    const { countsMilliseconds, reportMilliseconds } = planReportingIntervals(own.size);
    // Counts are read right after a report, so without slack each pause would grow by one of these.
    if (now() - countedAt < countsMilliseconds - reportMilliseconds / 2 || own.step === countedStep)
      return;
    const { step } = own;
    const counts = await engine.counts(backendServer);
    countedAt = now();
    countedStep = step;
    const delta = counts === undefined ? undefined : meter.update(counts);
    if (delta !== undefined) options.onGrowth(delta);
  }

  function pauseAfter(before: RankReport | undefined): number {
    if (own?.heldStep !== undefined) return HELD_MILLISECONDS;
    if (own === undefined || options.isLeading()) return CLOSE_MILLISECONDS;
    const { reportMilliseconds, idleReportMilliseconds } = planReportingIntervals(own.size);
    const isIdle = own.running + own.waiting === 0 && own.step === before?.step;
    return isIdle ? idleReportMilliseconds : reportMilliseconds;
  }

  async function observe(): Promise<void> {
    const before = own;
    try {
      await refresh();
      if (own !== undefined) await options.onReport(own);
      await count();
    } catch (thrown) {
      if (own !== undefined) logger.info('backend server lost', { reason: String(thrown) });
      own = undefined;
    }
    setTimeout(() => void observe(), pauseAfter(before));
  }

  return {
    report: () => own,
    refresh,
    start: () => void observe(),
  };
}
