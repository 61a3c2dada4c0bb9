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

/** What entries need to know of a rank. */
export interface RankLoad {
  readonly group: string;
  readonly rank: number;
  readonly epoch: number;
  readonly isOpen: boolean;
  readonly running: number;
  readonly waiting: number;
  readonly backendServer: RankAddress;
}

/**
 * Each rank tells each entry several times a second, most of them across zones: with whole
 * reports these were more than half of a large deployment's bytes between zones.
 */
export function encodeRankLoad(report: RankReport, backendServer: RankAddress): JsonObject {
  const { group, rank, epoch, isOpen, running, waiting } = report;
  const load: RankLoad = { group, rank, epoch, isOpen, running, waiting, backendServer };
  return { load };
}

/** Undefined where the datagram tells no load. */
export function decodeRankLoad(state: JsonObject): RankLoad | undefined {
  const { load } = state;
  if (!isObject(load)) return undefined;
  const group = textOf(load, 'group');
  const rank = numberOf(load, 'rank');
  const epoch = numberOf(load, 'epoch');
  const running = numberOf(load, 'running');
  const waiting = numberOf(load, 'waiting');
  const backendServer = decodeAddress(load.backendServer);
  if (group === undefined || rank === undefined || epoch === undefined) return undefined;
  if (running === undefined || waiting === undefined || backendServer === undefined) {
    return undefined;
  }
  return { group, rank, epoch, isOpen: load.isOpen === true, running, waiting, backendServer };
}

function decodeAddress(value: unknown): RankAddress | undefined {
  if (!isObject(value)) return undefined;
  const host = textOf(value, 'host');
  const port = numberOf(value, 'port');
  return host === undefined || port === undefined ? undefined : { host, port };
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
  const { report } = state;
  const backendServer = decodeAddress(state.backendServer);
  if (!isObject(report) || backendServer === undefined) return undefined;
  if (numberOf(report, 'rank') === undefined || textOf(report, 'group') === undefined) {
    return undefined;
  }
  return {
    // Written by our own kind from a checked report.
    report: report as unknown as RankReport,
    backendServer,
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
