/**
 * The messages between instances, and their encoding as JSON datagrams. Each kind has one
 * sender role and one purpose; a datagram that does not decode is dropped.
 */
import {
  isObject,
  listOf,
  numberOf,
  objectsOf,
  parseObject,
  PORTS,
  textOf,
  wholeNumberOf,
} from '@lapisbridge/json-call';
import type { JsonObject } from '@lapisbridge/json-call';
import type { GroupProfile, QuantizedCountDelta } from '@lapisbridge/group-leader';
import { decodeCountDelta } from '@lapisbridge/group-leader';
import { EPOCHS, GROUP_SIZES, RANKS } from '@lapisbridge/placement';
import type { RankReport } from '@lapisbridge/placement';

import { decodeDemand, encodeDemand } from './encode-demand.js';
import type { StatedDemand } from './encode-demand.js';
import type { LoadBucket } from './pack-loads.js';

export enum InstanceRole {
  Entry = 'entry',
  Sidecar = 'sidecar',
}

export interface InstanceName {
  readonly instanceId: string;
  readonly host: string;
  readonly role: InstanceRole;
  readonly availabilityZone: string;
}

export enum MessageKind {
  /** Requests an entry's roster, or its announcement when sent by a sidecar. */
  Hello = 'hello',
  /** Lists entries. */
  Roster = 'roster',
  /** Periodic state update from an entry to another entry. */
  Digest = 'digest',
  /** Crashes that an entry tells all others at once. */
  Crashes = 'crashes',
  /** An entry's request that a sidecar report to it. */
  Announcement = 'announcement',
  /** A sidecar's report to an entry. */
  RankState = 'rankState',
  /** A zone's ranks and the sum of their count increments, for the leader of their group. */
  ZoneSummary = 'zoneSummary',
  /** Heartbeat of a group's leader to the other ranks. */
  LeaderHeartbeat = 'leaderHeartbeat',
  /** A rank's count increments, sent directly to the leader. */
  Growth = 'growth',
  ReportQuestion = 'reportQuestion',
  ReportAnswer = 'reportAnswer',
}

/** Which entries a roster lists. */
export enum RosterScope {
  /** Entries of the sender's availability zone that it hears directly. */
  Zone = 'zone',
  /** Entries of all zones. */
  Fleet = 'fleet',
}

export interface LeaderAddress {
  readonly group: string;
  readonly host: string;
  /** Fencing number of the leader. */
  readonly fence: number;
}

/** A backend server's stated limit on the requests from all entries together. */
export interface RelayedRateLimit {
  readonly instanceId: string;
  /** Undefined if the server no longer has a limit. */
  readonly requestsPerSecond: number | undefined;
  /** Time since the response that stated the limit. */
  readonly ageMilliseconds: number;
}

/** State of a rank, as reported to entries. */
export interface RankState {
  readonly group: string;
  readonly rank: number;
  readonly epoch: number;
  readonly isOpen: boolean;
  readonly running: number;
  readonly waiting: number;
  /** Slowdown factor of the rank; 1 at normal speed. */
  readonly pace: number;
  /** Whether the rank has a pending order to hold or to switch. */
  readonly hasPendingOrder: boolean;
  readonly backendServerPort: number;
  /** Tokens that the server's memory holds; undefined if it does not state them. */
  readonly memoryTokens?: number | undefined;
}

/** A rank in a zone summary. */
export interface SummarizedRank {
  readonly rank: number;
  readonly host: string;
  readonly backendServerPort: number;
  readonly pace: number;
  readonly hasPendingOrder: boolean;
}

export type FleetMessage =
  | {
      readonly kind: MessageKind.Hello;
      readonly scope: RosterScope;
      /** Hash of the entries that the sender knows; no answer is needed if it matches. */
      readonly knownHash: number | undefined;
      /** How long a sidecar has been without an announcement from an entry. */
      readonly waitedMilliseconds: number;
    }
  | {
      readonly kind: MessageKind.Roster;
      readonly scope: RosterScope;
      readonly hash: number;
      readonly entries: readonly InstanceName[];
    }
  | {
      readonly kind: MessageKind.Digest;
      /** Whether the sender needs digests from the receiver. */
      readonly expectsAnswer: boolean;
      /** Scope and hash of the sender's roster; undefined from a non-delegate. */
      readonly roster: { readonly scope: RosterScope; readonly hash: number } | undefined;
      readonly loads: readonly LoadBucket[];
      readonly leaders: readonly LeaderAddress[];
      /** Freshness of the sender's copies of the store's tables; read by the entry program. */
      readonly freshness: JsonObject;
      readonly rateLimits: readonly RelayedRateLimit[];
      /** What the sender knows of crashed servers; read by the entry program. */
      readonly crashes: JsonObject;
      /** Demand of client accounts; undefined while no service is short, and in most digests. */
      readonly accountDemand: StatedDemand | undefined;
    }
  | {
      readonly kind: MessageKind.Crashes;
      /** As in a digest. */
      readonly crashes: JsonObject;
    }
  | {
      readonly kind: MessageKind.Announcement;
      /** Whether to send every report; a standby gets only some, in case the primary fails. */
      readonly wantsEveryReport: boolean;
      /** Whether the sender relays count increments to the leader. */
      readonly isPrimary: boolean;
      readonly profiles: Readonly<Record<string, GroupProfile>>;
    }
  | {
      readonly kind: MessageKind.RankState;
      readonly state: RankState;
      /** Fencing number of a rank that leads its group. */
      readonly fence: number | undefined;
      readonly growth: QuantizedCountDelta | undefined;
    }
  | {
      readonly kind: MessageKind.ZoneSummary;
      readonly group: string;
      readonly ranks: readonly SummarizedRank[];
      readonly growth: QuantizedCountDelta | undefined;
    }
  | {
      readonly kind: MessageKind.LeaderHeartbeat;
      readonly group: string;
      readonly fence: number;
      /** Whether the leader has seen the group with no hold in force and no switch armed. */
      readonly isSettled: boolean;
    }
  | {
      readonly kind: MessageKind.Growth;
      readonly group: string;
      readonly growth: QuantizedCountDelta;
    }
  | { readonly kind: MessageKind.ReportQuestion; readonly question: number }
  | {
      readonly kind: MessageKind.ReportAnswer;
      readonly question: number;
      readonly report: RankReport;
    };

export interface Datagram {
  readonly from: InstanceName;
  /** Increases while the sending process runs. */
  readonly sequence: number;
  readonly message: FleetMessage;
}

const ROLES: readonly string[] = Object.values(InstanceRole);
const SCOPES: readonly string[] = Object.values(RosterScope);

function decodeName(value: unknown): InstanceName | undefined {
  if (!Array.isArray(value)) return undefined;
  const [instanceId, host, role, availabilityZone] = value as unknown[];
  if (typeof instanceId !== 'string' || typeof host !== 'string') return undefined;
  if (typeof role !== 'string' || !ROLES.includes(role)) return undefined;
  if (typeof availabilityZone !== 'string') return undefined;
  return { instanceId, host, role: role as InstanceRole, availabilityZone };
}

function encodeName({ instanceId, host, role, availabilityZone }: InstanceName): unknown {
  return [instanceId, host, role, availabilityZone];
}

function decodeScope(value: unknown): RosterScope {
  return SCOPES.includes(String(value)) ? (value as RosterScope) : RosterScope.Fleet;
}

function decodeRoster(body: JsonObject): FleetMessage | undefined {
  const hash = numberOf(body, 'hash');
  if (hash === undefined) return undefined;
  const entries: InstanceName[] = [];
  for (const listed of listOf(body, 'entries')) {
    const name = decodeName(listed);
    if (name !== undefined) entries.push(name);
  }
  return { kind: MessageKind.Roster, scope: decodeScope(body.scope), hash, entries };
}

function decodeLoads(body: JsonObject): LoadBucket[] {
  const buckets: LoadBucket[] = [];
  for (const bucket of objectsOf(body, 'loads')) {
    const group = textOf(bucket, 'group');
    const epoch = wholeNumberOf(bucket, 'epoch', EPOCHS);
    const ranks = textOf(bucket, 'ranks');
    if (group === undefined || epoch === undefined || ranks === undefined) continue;
    const memoryTokens = numberOf(bucket, 'memoryTokens');
    buckets.push({ group, epoch, isOpen: bucket.isOpen === true, memoryTokens, ranks });
  }
  return buckets;
}

function decodeLeaders(body: JsonObject): LeaderAddress[] {
  const leaders: LeaderAddress[] = [];
  for (const leader of objectsOf(body, 'leaders')) {
    const group = textOf(leader, 'group');
    const host = textOf(leader, 'host');
    const fence = numberOf(leader, 'fence');
    if (group === undefined || host === undefined || fence === undefined) continue;
    leaders.push({ group, host, fence });
  }
  return leaders;
}

function decodeRateLimits(body: JsonObject): RelayedRateLimit[] {
  const limits: RelayedRateLimit[] = [];
  for (const listed of listOf(body, 'rateLimits')) {
    if (!Array.isArray(listed)) continue;
    const [instanceId, ageMilliseconds, rate] = listed as unknown[];
    if (typeof instanceId !== 'string' || typeof ageMilliseconds !== 'number') continue;
    if (rate !== undefined && (typeof rate !== 'number' || rate < 0)) continue;
    limits.push({ instanceId, requestsPerSecond: rate, ageMilliseconds });
  }
  return limits;
}

function encodeRateLimit(limit: RelayedRateLimit): unknown {
  const { instanceId, requestsPerSecond, ageMilliseconds } = limit;
  const named = [instanceId, Math.round(ageMilliseconds)];
  return requestsPerSecond === undefined ? named : [...named, requestsPerSecond];
}

function decodeDigest(body: JsonObject): FleetMessage {
  const roster = isObject(body.roster) ? body.roster : {};
  const hash = numberOf(roster, 'hash');
  return {
    kind: MessageKind.Digest,
    expectsAnswer: body.expectsAnswer === true,
    roster: hash === undefined ? undefined : { scope: decodeScope(roster.scope), hash },
    loads: decodeLoads(body),
    leaders: decodeLeaders(body),
    freshness: isObject(body.freshness) ? body.freshness : {},
    rateLimits: decodeRateLimits(body),
    crashes: isObject(body.crashes) ? body.crashes : {},
    accountDemand: decodeDemand(body.accountDemand),
  };
}

function decodeProfiles(value: unknown): Record<string, GroupProfile> {
  const profiles: Record<string, GroupProfile> = {};
  for (const [service, profile] of Object.entries(isObject(value) ? value : {})) {
    if (!isObject(profile)) continue;
    const sets = numberOf(profile, 'sets');
    const experts = numberOf(profile, 'experts');
    const placesPerRank = numberOf(profile, 'placesPerRank');
    const newPerRank = numberOf(profile, 'newPerRank');
    if (sets === undefined || experts === undefined) continue;
    if (placesPerRank === undefined || newPerRank === undefined) continue;
    profiles[service] = { sets, experts, placesPerRank, newPerRank };
  }
  return profiles;
}

function decodeState(value: unknown): RankState | undefined {
  if (!isObject(value)) return undefined;
  const group = textOf(value, 'group');
  const rank = wholeNumberOf(value, 'rank', RANKS);
  const epoch = wholeNumberOf(value, 'epoch', EPOCHS);
  const running = numberOf(value, 'running');
  const waiting = numberOf(value, 'waiting');
  const backendServerPort = wholeNumberOf(value, 'backendServerPort', PORTS);
  if (group === undefined || rank === undefined || epoch === undefined) return undefined;
  if (running === undefined || waiting === undefined) return undefined;
  if (backendServerPort === undefined) return undefined;
  return {
    group,
    rank,
    epoch,
    isOpen: value.isOpen === true,
    running,
    waiting,
    pace: numberOf(value, 'pace') ?? 1,
    hasPendingOrder: value.hasPendingOrder === true,
    backendServerPort,
    memoryTokens: numberOf(value, 'memoryTokens'),
  };
}

function decodeRankState(body: JsonObject): FleetMessage | undefined {
  const state = decodeState(body.state);
  if (state === undefined) return undefined;
  return {
    kind: MessageKind.RankState,
    state,
    fence: numberOf(body, 'fence'),
    growth: decodeCountDelta(body.growth),
  };
}

function decodeSummarizedRank(listed: unknown): SummarizedRank | undefined {
  if (!Array.isArray(listed)) return undefined;
  const [listedRank, host, listedPort, pace, hasPendingOrder] = listed as unknown[];
  const numbers = { listedRank, listedPort };
  const rank = wholeNumberOf(numbers, 'listedRank', RANKS);
  const backendServerPort = wholeNumberOf(numbers, 'listedPort', PORTS);
  if (rank === undefined || backendServerPort === undefined) return undefined;
  if (typeof host !== 'string' || typeof pace !== 'number') return undefined;
  return { rank, host, backendServerPort, pace, hasPendingOrder: hasPendingOrder === true };
}

function decodeSummary(body: JsonObject): FleetMessage | undefined {
  const group = textOf(body, 'group');
  if (group === undefined) return undefined;
  const ranks: SummarizedRank[] = [];
  for (const listed of listOf(body, 'ranks')) {
    const rank = decodeSummarizedRank(listed);
    if (rank !== undefined) ranks.push(rank);
  }
  return { kind: MessageKind.ZoneSummary, group, ranks, growth: decodeCountDelta(body.growth) };
}

function decodeHeartbeat(body: JsonObject): FleetMessage | undefined {
  const group = textOf(body, 'group');
  const fence = numberOf(body, 'fence');
  if (group === undefined || fence === undefined) return undefined;
  return { kind: MessageKind.LeaderHeartbeat, group, fence, isSettled: body.isSettled === true };
}

function decodeGrowthMessage(body: JsonObject): FleetMessage | undefined {
  const group = textOf(body, 'group');
  const growth = decodeCountDelta(body.growth);
  if (group === undefined || growth === undefined) return undefined;
  return { kind: MessageKind.Growth, group, growth };
}

function decodeAnswer(body: JsonObject): FleetMessage | undefined {
  const question = numberOf(body, 'question');
  const { report } = body;
  if (question === undefined || !isObject(report)) return undefined;
  const hasNumbers =
    wholeNumberOf(report, 'rank', RANKS) !== undefined &&
    wholeNumberOf(report, 'epoch', EPOCHS) !== undefined &&
    wholeNumberOf(report, 'size', GROUP_SIZES) !== undefined;
  if (!hasNumbers || textOf(report, 'group') === undefined) return undefined;
  // The sending sidecar has already validated the report.
  return { kind: MessageKind.ReportAnswer, question, report: report as unknown as RankReport };
}

function decodeMessage(body: JsonObject): FleetMessage | undefined {
  switch (body.kind) {
    case MessageKind.Hello:
      return {
        kind: MessageKind.Hello,
        scope: decodeScope(body.scope),
        knownHash: numberOf(body, 'knownHash'),
        waitedMilliseconds: numberOf(body, 'waitedMilliseconds') ?? 0,
      };
    case MessageKind.Roster:
      return decodeRoster(body);
    case MessageKind.Digest:
      return decodeDigest(body);
    case MessageKind.Crashes:
      return { kind: MessageKind.Crashes, crashes: isObject(body.crashes) ? body.crashes : {} };
    case MessageKind.Announcement:
      return {
        kind: MessageKind.Announcement,
        wantsEveryReport: body.wantsEveryReport === true,
        isPrimary: body.isPrimary === true,
        profiles: decodeProfiles(body.profiles),
      };
    case MessageKind.RankState:
      return decodeRankState(body);
    case MessageKind.ZoneSummary:
      return decodeSummary(body);
    case MessageKind.LeaderHeartbeat:
      return decodeHeartbeat(body);
    case MessageKind.Growth:
      return decodeGrowthMessage(body);
    case MessageKind.ReportQuestion: {
      const question = numberOf(body, 'question');
      return question === undefined ? undefined : { kind: MessageKind.ReportQuestion, question };
    }
    case MessageKind.ReportAnswer:
      return decodeAnswer(body);
    default:
      return undefined;
  }
}

/** Instances, rate limits and ranks are encoded as arrays, since a message may hold dozens. */
function encodeMessage(message: FleetMessage): unknown {
  if (message.kind === MessageKind.Roster) {
    return { ...message, entries: message.entries.map(encodeName) };
  }
  if (message.kind === MessageKind.Digest) {
    const rateLimits = message.rateLimits.map(encodeRateLimit);
    const { crashes, accountDemand } = message;
    return {
      ...message,
      rateLimits: rateLimits.length > 0 ? rateLimits : undefined,
      crashes: Object.keys(crashes).length > 0 ? crashes : undefined,
      accountDemand: accountDemand === undefined ? undefined : encodeDemand(accountDemand),
    };
  }
  if (message.kind === MessageKind.ZoneSummary) {
    const ranks: unknown[] = [];
    for (const { rank, host, backendServerPort, pace, hasPendingOrder } of message.ranks) {
      ranks.push([rank, host, backendServerPort, pace, hasPendingOrder]);
    }
    return { ...message, ranks };
  }
  return message;
}

export function encodeDatagram({ from, sequence, message }: Datagram): Buffer {
  return Buffer.from(
    JSON.stringify({ from: encodeName(from), sequence, message: encodeMessage(message) }),
  );
}

/** Returns undefined for bytes that are not a valid datagram. */
export function decodeDatagram(bytes: Buffer): Datagram | undefined {
  const value = parseObject(bytes);
  if (value === undefined || !isObject(value.message)) return undefined;
  const from = decodeName(value.from);
  const sequence = numberOf(value, 'sequence');
  const message = decodeMessage(value.message);
  if (from === undefined || sequence === undefined || message === undefined) return undefined;
  return { from, sequence, message };
}
