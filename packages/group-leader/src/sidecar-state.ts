/**
 * What sidecars and entries tell each other in datagrams, and how it is read back. Counts go
 * packed: there are hundreds of them several times a second.
 */
import { isObject, numberOf, textOf } from '@lapisbridge/json-call';
import type { JsonObject } from '@lapisbridge/json-call';
import type { RankReport } from '@lapisbridge/placement';

import type { PackedGrowth } from './count-growth.js';
import type { GroupProfile } from './demand-watch.js';
import type { RankAddress } from './rank-link.js';

/** Far above the largest models: 60 sets of 128 experts. */
const MOST_COUNTS = 100_000;

export interface SidecarState {
  readonly report: RankReport;
  readonly backendServer: RankAddress;
  /** Fencing number when this sidecar leads its group. */
  readonly fence: number | undefined;
  /** Whether that leader has seen the group free since it leads. */
  readonly isSettled: boolean;
  /** What the rank's counts grew by; only to the group's leader. */
  readonly growth: PackedGrowth | undefined;
  /** Asks for a fresh report; the answer bears the same number. */
  readonly question?: number | undefined;
  /** The question that this report was read for. */
  readonly answerTo?: number | undefined;
}

export function encodeSidecarState(state: SidecarState): JsonObject {
  return { ...state };
}

function decodeGrowth(value: unknown): PackedGrowth | undefined {
  if (!isObject(value)) return undefined;
  const epoch = numberOf(value, 'epoch');
  const unit = numberOf(value, 'unit');
  const length = numberOf(value, 'length');
  const bits = numberOf(value, 'bits');
  const levels = textOf(value, 'levels');
  if (epoch === undefined || unit === undefined || length === undefined) return undefined;
  if (bits === undefined || levels === undefined || length > MOST_COUNTS) return undefined;
  return { epoch, unit, length, bits, levels };
}

/** Undefined where the datagram is not a sidecar's. */
export function decodeSidecarState(state: JsonObject): SidecarState | undefined {
  const { report, backendServer } = state;
  if (!isObject(report) || !isObject(backendServer)) return undefined;
  const host = textOf(backendServer, 'host');
  const port = numberOf(backendServer, 'port');
  if (host === undefined || port === undefined) return undefined;
  if (numberOf(report, 'rank') === undefined || textOf(report, 'group') === undefined) {
    return undefined;
  }
  return {
    // Written by our own kind from a checked report.
    report: report as unknown as RankReport,
    backendServer: { host, port },
    fence: numberOf(state, 'fence'),
    isSettled: state.isSettled === true,
    growth: decodeGrowth(state.growth),
    question: numberOf(state, 'question'),
    answerTo: numberOf(state, 'answerTo'),
  };
}

/** What entries tell: the engines' limits, which only they read from the configuration. */
export interface EntryState {
  readonly profiles: Readonly<Record<string, GroupProfile>>;
}

export function decodeProfile(state: JsonObject, service: string): GroupProfile | undefined {
  const profiles = isObject(state.profiles) ? state.profiles : {};
  const profile = profiles[service];
  if (!isObject(profile)) return undefined;
  const sets = numberOf(profile, 'sets');
  const experts = numberOf(profile, 'experts');
  const placesPerRank = numberOf(profile, 'placesPerRank');
  const newPerRank = numberOf(profile, 'newPerRank');
  if (sets === undefined || experts === undefined) return undefined;
  if (placesPerRank === undefined || newPerRank === undefined) return undefined;
  return { sets, experts, placesPerRank, newPerRank };
}
