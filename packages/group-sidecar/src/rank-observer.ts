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
  onCountDelta(growth: CountDelta): void;
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
const FAST_POLL_MILLISECONDS = 100;
/** The same while a hold stands here, which must not keep the group for long. */
const HELD_POLL_MILLISECONDS = 25;

export function createRankObserver(options: RankObserverOptions): RankObserver {
  const { engine, backendServer, logger, now } = options;
  const deltaTracker = createCountDeltaTracker();
  let lastReport: RankReport | undefined;
  let countedAt = -Infinity;
  /** Pass of the last counts: without a pass nothing was chosen. */
  let countedStep = -1;

  async function refresh(): Promise<void> {
    const report = await engine.report(backendServer);
    const hasChanged = report?.isOpen !== lastReport?.isOpen;
    lastReport = report;
    if (hasChanged) options.onOpenChanged();
  }

  async function readCounts(): Promise<void> {
    if (lastReport === undefined) return;
    const { countsMilliseconds, reportMilliseconds } = planReportingIntervals(lastReport.size);
    // Counts are read right after a report, so without slack each pause would grow by one of these.
    if (
      now() - countedAt < countsMilliseconds - reportMilliseconds / 2 ||
      lastReport.step === countedStep
    )
      return;
    const { step } = lastReport;
    const counts = await engine.counts(backendServer);
    countedAt = now();
    countedStep = step;
    const delta = counts === undefined ? undefined : deltaTracker.update(counts);
    if (delta !== undefined) options.onCountDelta(delta);
  }

  function nextPollDelay(before: RankReport | undefined): number {
    if (lastReport?.heldStep !== undefined) return HELD_POLL_MILLISECONDS;
    if (lastReport === undefined || options.isLeading()) return FAST_POLL_MILLISECONDS;
    const { reportMilliseconds, idleReportMilliseconds } = planReportingIntervals(lastReport.size);
    const isIdle =
      lastReport.running + lastReport.waiting === 0 && lastReport.step === before?.step;
    return isIdle ? idleReportMilliseconds : reportMilliseconds;
  }

  async function observe(): Promise<void> {
    const before = lastReport;
    try {
      await refresh();
      if (lastReport !== undefined) await options.onReport(lastReport);
      await readCounts();
    } catch (thrown) {
      if (lastReport !== undefined) logger.info('backend server lost', { reason: String(thrown) });
      lastReport = undefined;
    }
    setTimeout(() => void observe(), nextPollDelay(before));
  }

  return {
    report: () => lastReport,
    refresh,
    start: () => void observe(),
  };
}
