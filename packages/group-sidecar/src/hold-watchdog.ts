/**
 * Watchdog for holds at the rank beside this sidecar: ends a hold that keeps the group waiting,
 * without the group's leader, which may have stopped. `planHoldEnd` decides; this module adds
 * orders, timing and logging.
 */
import { createPlaceholderMap } from '@lapisbridge/group-leader';
import type { GroupProfile, RankAddress, RankEngine } from '@lapisbridge/group-leader';
import type { Logger } from '@lapisbridge/logger';
import {
  HoldEndKind,
  isAtHold,
  OrderOutcome,
  planHoldEnd,
  RankOrderKind,
} from '@lapisbridge/placement';
import type { RankOrder, RankReport } from '@lapisbridge/placement';

export interface HoldWatchdogOptions {
  readonly engine: RankEngine;
  readonly backendServer: RankAddress;
  readonly logger: Logger;
  now(): number;
  profile(): GroupProfile | undefined;
}

export interface HoldWatchdog {
  /**
   * Evaluates a fresh report of the rank. Resolves when the resulting orders have been answered.
   */
  onReport(report: RankReport): Promise<void>;
}

export function createHoldWatchdog(options: HoldWatchdogOptions): HoldWatchdog {
  const { engine, backendServer, logger, now } = options;
  let currentHold = '';
  let heldSince = 0;

  function heldMilliseconds(report: RankReport): number {
    const hold = isAtHold(report) ? `${report.epoch}/${report.heldStep}` : '';
    if (hold !== currentHold) {
      currentHold = hold;
      heldSince = now();
    }
    return now() - heldSince;
  }

  async function sendOrder(report: RankReport, order: RankOrder): Promise<OrderOutcome> {
    const outcome = await engine.order(backendServer, order).catch(() => OrderOutcome.Unknown);
    logger.decision({
      kind: 'hold end',
      subject: `epoch ${report.epoch}`,
      choice: order.kind,
      reason: outcome,
      facts: {
        heldStep: report.heldStep,
        preparedVersion: report.preparedVersion,
        milliseconds: Math.round(now() - heldSince),
      },
    });
    return outcome;
  }

  /** Replaces the prepared map with the active one, so that the rank can no longer be armed. */
  async function replacePreparedMap(report: RankReport, version: number): Promise<OrderOutcome> {
    const { epoch, rank, size } = report;
    const profile = options.profile();
    const own = await engine.map(backendServer);
    if (profile === undefined || own === undefined) return OrderOutcome.Unknown;
    const map = createPlaceholderMap(own, rank, size, profile);
    return sendOrder(report, { kind: RankOrderKind.Prepare, epoch, version, map });
  }

  async function onReport(report: RankReport): Promise<void> {
    const { epoch } = report;
    const end = planHoldEnd(report, heldMilliseconds(report));
    switch (end.kind) {
      case HoldEndKind.Keep:
        return;
      case HoldEndKind.Void: {
        const outcome = await replacePreparedMap(report, end.version);
        if (outcome !== OrderOutcome.Accepted) return;
        const voided = await engine.report(backendServer);
        if (voided !== undefined && voided.preparedVersion === end.version) await onReport(voided);
        return;
      }
      case HoldEndKind.Release:
        await sendOrder(report, { kind: RankOrderKind.Release, epoch, step: end.step });
        return;
      default: {
        const unreachable: never = end;
        throw new Error(String(unreachable));
      }
    }
  }

  return { onReport };
}
