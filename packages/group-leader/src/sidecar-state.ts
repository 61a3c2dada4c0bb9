/**
 * What sidecars and entries tell each other in datagrams, and how it is read back. Counts go
 * as packed numbers, since there are hundreds of them several times a second.
 */
import { isObject, numberOf, textOf } from '@lapisbridge/json-call';
import type { JsonObject } from '@lapisbridge/json-call';
import type { RankReport } from '@lapisbridge/placement';

import type { GroupProfile } from './demand-watch.js';
import type { RankAddress, RankCounts } from './rank-link.js';

export interface SidecarState {
  readonly report: RankReport;
  readonly backendServer: RankAddress;
  /** Fencing number when this sidecar leads its group. */
  readonly fence: number | undefined;
  /** Whether that leader has seen the group free since it leads. */
  readonly isSettled: boolean;
  /** Only to the group's leader. */
  readonly counts: RankCounts | undefined;
}

export function encodeSidecarState(state: SidecarState): JsonObject {
  const { counts } = state;
  return {
    report: state.report,
    backendServer: state.backendServer,
    fence: state.fence,
    isSettled: state.isSettled,
    counts:
      counts === undefined ? undefined : { epoch: counts.epoch, packed: packCounts(counts.counts) },
  };
}

function packCounts(counts: readonly number[]): string {
  return Buffer.from(Uint32Array.from(counts).buffer).toString('base64');
}

function unpackCounts(packed: string): number[] {
  const bytes = Buffer.from(packed, 'base64');
  const counts: number[] = [];
  for (let offset = 0; offset + 4 <= bytes.length; offset += 4) {
    counts.push(bytes.readUInt32LE(offset));
  }
  return counts;
}

function decodeCounts(value: unknown): RankCounts | undefined {
  if (!isObject(value)) return undefined;
  const epoch = numberOf(value, 'epoch');
  const packed = textOf(value, 'packed');
  if (epoch === undefined || packed === undefined) return undefined;
  return { epoch, counts: unpackCounts(packed) };
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
    counts: decodeCounts(state.counts),
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
