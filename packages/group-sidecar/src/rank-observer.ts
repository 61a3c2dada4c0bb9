/**
 * Polls the backend server beside this sidecar: its state several times a second, and its expert
 * counts at the rate that the leader can process.
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
  /** Whether this sidecar leads its group, and therefore has to poll it more often. */
  isLeading(): boolean;
  /** Called when the rank's group broke or formed again, according to the rank's reports. */
  onOpenChanged(): void;
  onCountDelta(growth: CountDelta): void;
  /** Called after each scheduled read of a report. */
  onReport(report: RankReport): Promise<void>;
}

export interface RankObserver {
  /** Last report; undefined while the backend server does not answer. */
  report(): RankReport | undefined;
  /** Reads a fresh report. Rejects when the backend server does not answer. */
  refresh(): Promise<void>;
  start(): void;
}

/** Poll interval while the backend server does not answer, or while this sidecar leads. */
const FAST_POLL_MILLISECONDS = 100;
/**
 * Poll interval while a hold is set at this rank. Short, because a hold must not keep the group
 * waiting for long.
 */
const HELD_POLL_MILLISECONDS = 25;

export function createRankObserver(options: RankObserverOptions): RankObserver {
  const { engine, backendServer, logger, now } = options;
  const deltaTracker = createCountDeltaTracker();
  let lastReport: RankReport | undefined;
  let countedAt = -Infinity;
  /** Step of the last counts. Without a new pass no expert was selected. */
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
    // Counts are read right after a report. Without this slack each interval would grow by up to
    // one report interval.
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
      if (lastReport !== undefined)
        logger.info('backend server does not answer', { reason: String(thrown) });
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
