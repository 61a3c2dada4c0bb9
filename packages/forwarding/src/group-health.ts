/**
 * Tracks which lock-step groups can run work. All ranks of a group run each pass together, so one
 * rank that dies or is disconnected stops them all; a request sent meanwhile is refused, or hangs
 * until the engines detect the failure. The state is learned from the reports of the sidecars
 * first, then from refusals that name the cause, and last from the list of servers.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import type { Logger } from '@lapisbridge/logger';

import { createOutageForecast } from './outage-forecast.js';

/** A rank's report on the state of its group. */
export interface RankHealth {
  readonly group: string;
  readonly rank: number;
  /** Incremented each time the group is re-formed. */
  readonly epoch: number;
  readonly isOpen: boolean;
}

export interface GroupHealth {
  /** Records a report that a rank's sidecar made `ageMilliseconds` ago. */
  recordReport(health: RankHealth, ageMilliseconds?: number): void;
  /** Records that a backend server refused a request because its group cannot run work. */
  recordRefusal(server: BackendServer): void;
  /**
   * How long the server's group has been stopped, in milliseconds: undefined while it runs,
   * `Infinity` if the start of the outage is not known.
   */
  brokenForMilliseconds(server: BackendServer): number | undefined;
  /**
   * Probability, 0 to 1, that a group that has been stopped for `brokenForMilliseconds` runs again
   * within `withinMilliseconds`.
   */
  chanceOfReturn(brokenForMilliseconds: number, withinMilliseconds: number): number;
  /**
   * Milliseconds within which a group that has been stopped for this long is likely to run again.
   */
  likelyReturnMilliseconds(brokenForMilliseconds: number): number;
  /** Resolves when any group changes between open and broken. */
  nextChange(): Promise<void>;
}

interface RankState {
  readonly epoch: number;
  readonly isOpen: boolean;
  readonly reportedAt: number;
}

interface Group {
  readonly ranks: Map<number, RankState>;
  /** Undefined until a rank has reported. */
  isBroken: boolean | undefined;
  changedAt: number;
}

/** Older reports are ignored. Equals nine reporting intervals of a sidecar. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 1500;

export function createGroupHealth(now: () => number, logger: Logger): GroupHealth {
  const groups = new Map<string, Group>();
  const forecast = createOutageForecast();
  let resolveChange: () => void = () => undefined;
  let pendingChange = nextPromise();

  function nextPromise(): Promise<void> {
    return new Promise((resolve) => {
      resolveChange = resolve;
    });
  }

  function groupOf(name: string): Group {
    let group = groups.get(name);
    if (group === undefined) {
      group = { ranks: new Map(), isBroken: undefined, changedAt: -Infinity };
      groups.set(name, group);
    }
    return group;
  }

  /**
   * Whether the group is broken; undefined without a recent report. Only the newest epoch counts,
   * and one broken rank is enough.
   */
  function findIsBroken({ ranks }: Group): boolean | undefined {
    const from = now() - MAXIMUM_REPORT_AGE_MILLISECONDS;
    let newestEpoch = -1;
    let isBroken: boolean | undefined;
    for (const { epoch, isOpen, reportedAt } of ranks.values()) {
      if (reportedAt < from || epoch < newestEpoch) continue;
      if (epoch > newestEpoch) isBroken = false;
      newestEpoch = epoch;
      if (!isOpen) isBroken = true;
    }
    return isBroken;
  }

  function updateGroup(name: string, group: Group, cause: string): void {
    const isBroken = findIsBroken(group);
    if (isBroken === undefined || isBroken === group.isBroken) return;
    const brokenForMilliseconds = now() - group.changedAt;
    if (!isBroken && Number.isFinite(brokenForMilliseconds))
      forecast.recordOutage(brokenForMilliseconds);
    // A group whose first report says that it is broken may have been stopped for any time.
    group.changedAt = group.isBroken === undefined ? -Infinity : now();
    group.isBroken = isBroken;
    logger.info(isBroken ? 'group lost' : 'group regained', { group: name, cause });
    resolveChange();
    pendingChange = nextPromise();
  }

  function applyRankState(health: RankHealth, cause: string, reportedAt: number): void {
    const group = groupOf(health.group);
    const known = group.ranks.get(health.rank);
    if (known !== undefined && known.epoch >= health.epoch && known.reportedAt > reportedAt) return;
    group.ranks.set(health.rank, { epoch: health.epoch, isOpen: health.isOpen, reportedAt });
    updateGroup(health.group, group, cause);
  }

  return {
    recordReport: (health, ageMilliseconds = 0) =>
      applyRankState(
        health,
        `rank ${health.rank} in epoch ${health.epoch}`,
        now() - ageMilliseconds,
      ),
    recordRefusal(server) {
      const { groupRank } = server;
      if (groupRank === undefined) return;
      const known = groups.get(groupRank.group)?.ranks.get(groupRank.rank);
      const epoch = Math.max(groupRank.epoch, known?.epoch ?? 0);
      applyRankState(
        { ...groupRank, epoch, isOpen: false },
        `refused by ${server.instanceId}`,
        now(),
      );
    },
    brokenForMilliseconds({ groupRank }) {
      if (groupRank === undefined) return undefined;
      const group = groups.get(groupRank.group);
      const isBroken = (group === undefined ? undefined : findIsBroken(group)) ?? !groupRank.open;
      if (!isBroken) return undefined;
      return group?.isBroken === true ? now() - group.changedAt : Infinity;
    },
    chanceOfReturn: forecast.chanceOfEnd,
    likelyReturnMilliseconds: forecast.likelyEndMilliseconds,
    nextChange: () => pendingChange,
  };
}
