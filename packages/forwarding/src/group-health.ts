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
  reported(health: RankHealth, ageMilliseconds?: number): void;
  /** A backend server refused a request because its group cannot run work. */
  refused(server: BackendServer): void;
  /** For how long the server's group has stood still, in milliseconds; undefined while it runs. */
  brokenFor(server: BackendServer): number | undefined;
  /** Chance that a group that has stood still for so long runs again within the time. */
  chanceOfReturn(brokenForMilliseconds: number, withinMilliseconds: number): number;
  /** Milliseconds within which such a group is likely to run again. */
  likelyReturn(brokenForMilliseconds: number): number;
  /** Resolves when a group changes between open and broken. */
  nextChange(): Promise<void>;
}

interface HeardRank {
  readonly epoch: number;
  readonly isOpen: boolean;
  readonly at: number;
}

interface Group {
  readonly ranks: Map<number, HeardRank>;
  /** Undefined until a rank was heard. */
  isBroken: boolean | undefined;
  changedAt: number;
}

/** Word of a rank that was not repeated for this long decides nothing: nine beats of a sidecar. */
const FRESH_MILLISECONDS = 1500;

export function createGroupHealth(now: () => number, logger: Logger): GroupHealth {
  const groups = new Map<string, Group>();
  const forecast = createOutageForecast();
  let wake: () => void = () => undefined;
  let change = nextPromise();

  function nextPromise(): Promise<void> {
    return new Promise((resolve) => {
      wake = resolve;
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
  function judge({ ranks }: Group): boolean | undefined {
    const from = now() - FRESH_MILLISECONDS;
    let newest = -1;
    let isBroken: boolean | undefined;
    for (const { epoch, isOpen, at } of ranks.values()) {
      if (at < from || epoch < newest) continue;
      if (epoch > newest) isBroken = false;
      newest = epoch;
      if (!isOpen) isBroken = true;
    }
    return isBroken;
  }

  function note(name: string, group: Group, cause: string): void {
    const isBroken = judge(group);
    if (isBroken === undefined || isBroken === group.isBroken) return;
    const brokenFor = now() - group.changedAt;
    if (!isBroken && Number.isFinite(brokenFor)) forecast.note(brokenFor);
    // A group that was found broken may have stood still for long.
    group.changedAt = group.isBroken === undefined ? -Infinity : now();
    group.isBroken = isBroken;
    logger.info(isBroken ? 'group lost' : 'group regained', { group: name, cause });
    wake();
    change = nextPromise();
  }

  function hear(health: RankHealth, cause: string, at: number): void {
    const group = groupOf(health.group);
    const known = group.ranks.get(health.rank);
    if (known !== undefined && known.epoch >= health.epoch && known.at > at) return;
    group.ranks.set(health.rank, { epoch: health.epoch, isOpen: health.isOpen, at });
    note(health.group, group, cause);
  }

  return {
    reported: (health, ageMilliseconds = 0) =>
      hear(health, `rank ${health.rank} in epoch ${health.epoch}`, now() - ageMilliseconds),
    refused(server) {
      const { groupRank } = server;
      if (groupRank === undefined) return;
      const known = groups.get(groupRank.group)?.ranks.get(groupRank.rank);
      const epoch = Math.max(groupRank.epoch, known?.epoch ?? 0);
      hear({ ...groupRank, epoch, isOpen: false }, `refused by ${server.instanceId}`, now());
    },
    brokenFor({ groupRank }) {
      if (groupRank === undefined) return undefined;
      const group = groups.get(groupRank.group);
      const isBroken = (group === undefined ? undefined : judge(group)) ?? !groupRank.open;
      if (!isBroken) return undefined;
      return group?.isBroken === true ? now() - group.changedAt : Infinity;
    },
    chanceOfReturn: forecast.chanceWithin,
    likelyReturn: forecast.likelyWithin,
    nextChange: () => change,
  };
}
