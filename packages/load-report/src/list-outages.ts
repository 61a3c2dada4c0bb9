/**
 * What was lost and for how long, and how long it took after its return until a balanced expert
 * map was in force and until nobody was late or lost any more.
 */
import { collectPeriods, isChange } from '@lapisbridge/log-story';
import type { LogLine } from '@lapisbridge/log-story';

import type { OutageReport } from './report.js';
import type { TimeBin } from './time-bins.js';
import { EndClass } from './request-counts.js';

/** Lines kept; beyond it outages are no longer listed one by one. */
const MAXIMUM_LINES = 20_000;

export interface OutageList {
  add(line: LogLine): void;
  list(bins: readonly TimeBin[]): readonly OutageReport[];
}

function isMapInForce({ kind, choice }: LogLine): boolean {
  return kind === 'rollout' && choice === 'done';
}

/** Failures do not count: there are routes that always fail. */
function isCalm({ counts }: TimeBin): boolean {
  return counts[EndClass.Late] === 0 && counts[EndClass.RefusedAgain] === 0;
}

export function createOutageList(): OutageList {
  const changes: LogLine[] = [];
  const mapsAt: number[] = [];

  return {
    add(line) {
      if (changes.length + mapsAt.length >= MAXIMUM_LINES) return;
      if (isChange(line)) changes.push(line);
      else if (isMapInForce(line)) mapsAt.push(line.at);
    },
    list(bins) {
      changes.sort((left, right) => left.at - right.at);
      mapsAt.sort((left, right) => left - right);
      return collectPeriods(changes).map(({ matter, from, fromAt, until, cause }) => {
        const end = until;
        const mapAt = end === undefined ? undefined : mapsAt.find((at) => at >= end);
        const calm =
          end === undefined ? undefined : bins.find((bin) => bin.from >= end && isCalm(bin));
        const isGroup = matter.startsWith('group ');
        return {
          matter,
          from,
          milliseconds: end === undefined ? undefined : end - fromAt,
          cause,
          toMapMilliseconds:
            !isGroup || end === undefined || mapAt === undefined ? undefined : mapAt - end,
          toCalmMilliseconds: end === undefined || calm === undefined ? undefined : calm.from - end,
        };
      });
    },
  };
}
