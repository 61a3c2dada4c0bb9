/**
 * Which lock-step groups can run work now. All ranks of a group run each pass together, so one
 * rank that died or was cut off stops them all; a request sent meanwhile is refused, or hangs
 * until the engines notice. Sidecars tell first, a refusal tells when it names the cause, and
 * the list of servers tells last.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import type { Logger } from '@lapisbridge/logger';

import { createOutageForecast } from './outage-forecast.js';

/** What one rank says of its group. */
export interface RankHealth {
  readonly group: string;
  readonly rank: number;
  /** Rises each time the group forms anew. */
  readonly epoch: number;
  readonly isOpen: boolean;
}

export interface GroupHealth {
  /** A rank's sidecar told this so many milliseconds ago. */
  recordReport(health: RankHealth, ageMilliseconds?: number): void;
  /** A backend server refused a request because its group cannot run work. */
  recordRefusal(server: BackendServer): void;
  /** For how long the server's group has stood still, in milliseconds; undefined while it runs. */
  brokenForMilliseconds(server: BackendServer): number | undefined;
  /** Chance that a group that has stood still for so long runs again within the time. */
  chanceOfReturn(brokenForMilliseconds: number, withinMilliseconds: number): number;
  /** Milliseconds within which such a group is likely to run again. */
  likelyReturnMilliseconds(brokenForMilliseconds: number): number;
  /** Resolves when a group changes between open and broken. */
  nextChange(): Promise<void>;
}

interface RankState {
  readonly epoch: number;
  readonly isOpen: boolean;
  readonly reportedAt: number;
}

interface Group {
  readonly ranks: Map<number, RankState>;
  /** Undefined until a rank was heard. */
  isBroken: boolean | undefined;
  changedAt: number;
}

/** Word of a rank that was not repeated for this long decides nothing: nine beats of a sidecar. */
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

  /** Undefined when no rank was heard lately. The newest epoch decides; one broken rank is enough. */
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
    // A group that was found broken may have stood still for long.
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
