/**
 * A small site on loopback addresses: the real programs, and stand-ins for what surrounds them
 * behind proxies.
 */
import { mkdtempSync } from 'node:fs';
import type { Server } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { EventKind } from '@lapisbridge/history';
import type { History } from '@lapisbridge/history';
import type { Random } from '@lapisbridge/kernel';
import {
  configurationRow,
  CrashCauseKind,
  CrashMoment,
  createRankGroup,
  createRunnerStandIn,
  createStoreStandIn,
  LOOK_UP_PREFIX,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  serverRow,
  STREAM_PREFIX,
} from '@lapisbridge/users-platform';
import type {
  CrashCause,
  RankGroup,
  RunnerStandIn,
  StoreStandIn,
} from '@lapisbridge/users-platform';

import { createAbandonmentWatch } from './abandonment-watch.js';
import type { AbandonmentWatch } from './abandonment-watch.js';
import { createCrashingRequestWatch } from './crashing-request-watch.js';
import type { CrashingRequestWatch } from './crashing-request-watch.js';
import { createCrashWatch } from './crash-watch.js';
import type { CrashWatch } from './crash-watch.js';
import { createHandOverWatch } from './hand-over-watch.js';
import type { HandOverWatch } from './hand-over-watch.js';
import { createLink, LinkMode } from './link.js';
import type { Link } from './link.js';
import { createProgram } from './program.js';
import type { Program } from './program.js';
import { createBackoffWatch } from './backoff-watch.js';
import type { BackoffWatch } from './backoff-watch.js';
import { createDepartureWatch } from './departure-watch.js';
import type { DepartureWatch } from './departure-watch.js';
import { createRetryWatch } from './retry-watch.js';
import type { RetryWatch } from './retry-watch.js';
import { createRateLimitWatch } from './rate-limit-watch.js';
import type { RateLimitWatch } from './rate-limit-watch.js';

export interface SiteServer {
  readonly instanceId: string;
  readonly runner: RunnerStandIn;
  readonly link: Link;
  isDraining: boolean;
  /** Rises when another process takes its place. */
  startedAt: number;
  /** Times that its process has ended and no other has started yet. */
  endCount: number;
  /** Its machine stands still, and its heartbeats with it. */
  isStopped: boolean;
}

/** Requests that a crashing part can come with. */
export enum CrashingKind {
  Stream = 'stream',
  LookUp = 'look-up',
}

/** A request that crashes every server which runs it. */
export interface CrashingRequest {
  readonly target: string;
  readonly kind: CrashingKind;
  readonly hasParts: boolean;
}

export interface Site {
  /** Programs' logs and settings are here. */
  readonly folder: string;
  readonly store: StoreStandIn;
  readonly group: RankGroup;
  readonly ranks: readonly SiteServer[];
  readonly plainServers: readonly SiteServer[];
  readonly entries: readonly Program[];
  readonly sidecars: readonly Program[];
  readonly rateLimitWatch: RateLimitWatch;
  readonly backoffWatch: BackoffWatch;
  readonly departureWatch: DepartureWatch;
  readonly abandonmentWatch: AbandonmentWatch;
  readonly crashWatch: CrashWatch;
  readonly crashingRequestWatch: CrashingRequestWatch;
  readonly handOverWatch: HandOverWatch;
  readonly retryWatch: RetryWatch;
  /** An instance was stopped or started again, and may not know what it was told. */
  excuse(name: string): void;
  /** Entry that most new connections are handed to; undefined while callers choose. */
  receivingEntry(): number | undefined;
  /** Hands most new connections to an entry; returns what ends it. */
  handOver(entry: number): () => void;
  /** Crashing part of the requests of each kind that come now; undefined for none. */
  crashingPart(kind: CrashingKind): string | undefined;
  /** Lets requests with a new crashing part come; returns what ends them. */
  beginCrashingPart(target: number): () => void;
  /** Crashing request that a caller sends now, again and again; undefined for none. */
  crashingRequest(): CrashingRequest | undefined;
  /** Lets a crashing request come; returns what ends it. */
  beginCrashingRequest(target: number): () => void;
  /** Ends the process of a server; returns what starts another one at its address. */
  endServer(server: SiteServer): () => void;
  /** Notes that a request for a service is sent to an entry. */
  noteRequest(requestId: string, entry: string, service: string): void;
  callersAt(entry: number): { readonly host: string; readonly port: number };
  readinessAt(entry: number): { readonly host: string; readonly port: number };
  /** Writes the configuration with these keys under a new version. */
  configure(keys: readonly string[]): void;
  stop(): Promise<void>;
}

export interface SiteOptions {
  readonly random: Random;
  readonly history: History;
  readonly entries: number;
  readonly ranks: number;
  readonly plainServers: number;
  readonly passMilliseconds?: number | undefined;
  /** Requests per second that a rank takes while it is cold; unlimited when omitted. */
  readonly coldRequestsPerSecond?: number | undefined;
  /** Folder of the bundled programs. */
  readonly programs: string;
  /** 1 to 250; keeps the addresses of runs on one machine apart. */
  readonly network: number;
  onOwnEnd(name: string, status: string): void;
}

const RETRY_LIMITS = { ratio: 0.2, slack: 90, windowMilliseconds: 10_000 };
const SIZE = { sets: 2, experts: 16, placesPerRank: 8 };
const HEARTBEAT_MILLISECONDS = 400;
/** How long a crashed server is away. */
const CRASH_MILLISECONDS = 1500;
/** Streams with prompt parts, streams without, and look-ups. */
const CRASHING_REQUEST_SHAPES = 3;
const CALLERS_PORT = 21_001;
const READINESS_PORT = 21_002;
const PEER_PORT = 21_003;
const METRICS_PORT = 21_004;
const SERVER_PORT = 21_005;
const LINK_PORT = 21_006;
const STORE_PORT = 21_007;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
/** The third number of a loopback address, by what stands there. */
enum Net {
  Entries = 1,
  Servers = 2,
  Store = 3,
}

function listen(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}

export async function startSite(options: SiteOptions): Promise<Site> {
  const { random, history, network } = options;
  const folder = mkdtempSync(join(tmpdir(), 'lapisbridge-soak-'));
  const addressOf = (net: Net, index: number): string => `127.${network}.${net}.${index + 1}`;
  const store = createStoreStandIn();
  const group = createRankGroup({
    ...SIZE,
    ranks: options.ranks,
    random,
    passMilliseconds: options.passMilliseconds,
    onPass(rank, step, mapVersion) {
      const name = `group in epoch ${group.epoch()}`;
      history.record({ kind: EventKind.MapStep, group: name, rank, step, mapVersion });
    },
  });
  const servers: Server[] = [];
  const rateLimitWatch = createRateLimitWatch(history, () => performance.now());
  const backoffWatch = createBackoffWatch(history, () => performance.now());
  const departureWatch = createDepartureWatch(history, () => performance.now());
  const handOverWatch = createHandOverWatch(history, () => performance.now());
  let receivingEntry: number | undefined;
  const crashWatch = createCrashWatch(history, () => performance.now());
  const crashingParts = new Map<CrashingKind, string>();
  let crashingPartCount = 0;
  const crashingRequestWatch = createCrashingRequestWatch(history, () => performance.now());
  let crashingRequest: CrashingRequest | undefined;
  let crashingRequestCount = 0;
  /** Whether servers that a request crashes fall silent, instead of closing their connections. */
  let isSilentCrash = false;
  const abandonmentWatch = createAbandonmentWatch(history, () => performance.now());
  const retryWatch = createRetryWatch(history, RETRY_LIMITS, () => performance.now());
  const entryOf = new Map<string, string>();
  const sentAt = new Map<string, number>();
  await listen(store.server, addressOf(Net.Store, 0), STORE_PORT);
  servers.push(store.server);

  function endServer(server: SiteServer, mode = LinkMode.Refusing): () => void {
    server.endCount += 1;
    server.link.setMode(mode);
    const rank = ranks.indexOf(server);
    if (rank >= 0) group.crash(rank);
    return () => {
      server.endCount -= 1;
      if (server.endCount > 0) return;
      server.startedAt += 1;
      server.runner.isLeaving = false;
      departureWatch.onReplaced(server.instanceId);
      // The new process knows none of the connections that its predecessor left open.
      if (mode === LinkMode.Silent) server.link.setMode(LinkMode.Resetting);
      server.link.setMode(LinkMode.Passing);
      if (rank >= 0) group.restart(rank);
    };
  }

  function onCrash(server: SiteServer, cause: CrashCause): void {
    // Requests that begin together crash the server once.
    if (server.endCount > 0) return;
    let mode = LinkMode.Refusing;
    switch (cause.kind) {
      case CrashCauseKind.Part:
        crashWatch.onCrash(cause.part);
        break;
      case CrashCauseKind.Request:
        crashingRequestWatch.onCrash(cause.target);
        if (isSilentCrash) mode = LinkMode.Silent;
        break;
      default: {
        const unreachable: never = cause;
        throw new Error(String(unreachable));
      }
    }
    setTimeout(endServer(server, mode), CRASH_MILLISECONDS * (0.75 + 0.5 * random()));
  }

  async function startServer(index: number, rank: number | undefined): Promise<SiteServer> {
    const instanceId = rank === undefined ? `plain-${index}` : `rank-${rank}`;
    const service = rank === undefined ? PLAIN_SERVICE : MODEL_SERVICE;
    const runner = createRunnerStandIn({
      instanceId,
      random,
      rank: rank === undefined ? undefined : { group, index: rank },
      onRun(requestId) {
        const isOnce = requestId.startsWith('booking');
        if (isOnce) history.record({ kind: EventKind.Effect, callKey: requestId });
      },
      onArrival(requestId, sharedParts, target) {
        const entry = entryOf.get(requestId) ?? '';
        crashWatch.onArrival(instanceId, entry, sharedParts);
        crashingRequestWatch.onArrival(instanceId, entry, target);
        rateLimitWatch.onArrival(instanceId, entry, runner.rateLimit);
        backoffWatch.onArrival(instanceId, entry);
        departureWatch.onArrival(instanceId, entry, sentAt.get(requestId) ?? 0);
        abandonmentWatch.onArrival(instanceId, entry, requestId);
        retryWatch.onArrival(service, requestId);
      },
      onCrash: (cause) => onCrash(server, cause),
      onRateLimitStated(requestId) {
        rateLimitWatch.onStated(instanceId, entryOf.get(requestId) ?? '');
      },
      onLeavingStated(requestId) {
        departureWatch.onStated(instanceId, entryOf.get(requestId) ?? '');
      },
      onBackoffRequested(requestId, milliseconds) {
        backoffWatch.onAsked(instanceId, entryOf.get(requestId) ?? '', milliseconds);
      },
    });
    const host = addressOf(Net.Servers, index);
    const link = createLink({ host, port: SERVER_PORT });
    await listen(runner.server, host, SERVER_PORT);
    await listen(link.server, host, LINK_PORT);
    servers.push(runner.server, link.server);
    const server: SiteServer = {
      instanceId,
      runner,
      link,
      isDraining: false,
      startedAt: 1,
      endCount: 0,
      isStopped: false,
    };
    return server;
  }

  const ranks: SiteServer[] = [];
  const plainServers: SiteServer[] = [];
  for (let rank = 0; rank < options.ranks; rank += 1) ranks.push(await startServer(rank, rank));
  for (let index = 0; index < options.plainServers; index += 1) {
    plainServers.push(await startServer(options.ranks + index, undefined));
  }

  let sequence = 0;
  function beat(): void {
    sequence += 1;
    for (const [index, server] of [...ranks, ...plainServers].entries()) {
      const isRank = index < ranks.length;
      if (server.isStopped || server.endCount > 0) continue;
      if (isRank && group.ranks[index]?.isAlive === false) continue;
      const row = {
        service: isRank ? MODEL_SERVICE : PLAIN_SERVICE,
        address: `${addressOf(Net.Servers, index)}:${LINK_PORT}`,
        zone: ZONES[index % ZONES.length] ?? '',
        isDraining: server.isDraining,
        startedAt: server.startedAt,
        group: isRank
          ? {
              name: 'group',
              epoch: group.epoch(),
              rank: index,
              state: group.isOpen() ? 'open' : 'broken',
            }
          : undefined,
      };
      store.put('servers', server.instanceId, serverRow(row, sequence));
    }
  }
  beat();
  const heartbeat = setInterval(beat, HEARTBEAT_MILLISECONDS);

  let version = 0;
  function configure(keys: readonly string[]): void {
    version += 1;
    store.put('op', 'config', configurationRow(version, keys, SIZE, options.coldRequestsPerSecond));
  }

  const seeds = Array.from(
    { length: Math.min(3, options.entries) },
    (_, index) => `${addressOf(Net.Entries, index)}:${PEER_PORT}`,
  );
  const shared = {
    peerPort: PEER_PORT,
    metricsPort: METRICS_PORT,
    seedAddresses: seeds.join(','),
    storeAddress: `${addressOf(Net.Store, 0)}:${STORE_PORT}`,
    graceSeconds: 8,
    configurationBoundMilliseconds: 2000,
    drainingBoundMilliseconds: 2000,
    retryRatio: RETRY_LIMITS.ratio,
    retrySlack: RETRY_LIMITS.slack,
    retryWindowSeconds: RETRY_LIMITS.windowMilliseconds / 1000,
  };
  const { onOwnEnd } = options;
  const excusing = [
    rateLimitWatch,
    backoffWatch,
    departureWatch,
    abandonmentWatch,
    crashWatch,
    crashingRequestWatch,
    handOverWatch,
  ];
  function excuse(name: string): void {
    for (const watch of excusing) watch.excuse(name);
  }
  const entries = Array.from({ length: options.entries }, (_, index) => {
    const host = addressOf(Net.Entries, index);
    return createProgram({
      name: `entry-${index}`,
      file: join(options.programs, 'entry.js'),
      folder,
      onStart: excuse,
      onOwnEnd,
      settings: {
        ...shared,
        instanceId: `entry-${index}`,
        host,
        availabilityZone: ZONES[index % ZONES.length],
        callerAddress: `${host}:${CALLERS_PORT}`,
        readinessAddress: `${host}:${READINESS_PORT}`,
      },
    });
  });
  const sidecars = ranks.map((_, index) => {
    const host = addressOf(Net.Servers, index);
    return createProgram({
      name: `sidecar-${index}`,
      file: join(options.programs, 'sidecar.js'),
      folder,
      onOwnEnd,
      settings: {
        ...shared,
        instanceId: `sidecar-${index}`,
        host,
        availabilityZone: ZONES[index % ZONES.length],
        service: MODEL_SERVICE,
        backendServerAddress: `${host}:${LINK_PORT}`,
      },
    });
  });
  for (const program of [...entries, ...sidecars]) program.start();

  return {
    folder,
    store,
    group,
    ranks,
    plainServers,
    entries,
    sidecars,
    rateLimitWatch,
    backoffWatch,
    departureWatch,
    abandonmentWatch,
    crashWatch,
    crashingRequestWatch,
    handOverWatch,
    retryWatch,
    excuse,
    receivingEntry: () => receivingEntry,
    handOver(entry) {
      receivingEntry = entry % entries.length;
      handOverWatch.onBegin();
      return () => {
        receivingEntry = undefined;
        handOverWatch.onFinish();
      };
    },
    crashingPart: (kind) => crashingParts.get(kind),
    beginCrashingPart(target) {
      crashingPartCount += 1;
      const part = `bad${crashingPartCount}`;
      const isStream = target % 2 === 0;
      const kind = isStream ? CrashingKind.Stream : CrashingKind.LookUp;
      const struck = isStream ? ranks : plainServers;
      crashingParts.set(kind, part);
      crashWatch.onBegin(part, kind);
      for (const { runner } of struck) runner.crashingPart = part;
      return () => {
        if (crashingParts.get(kind) === part) crashingParts.delete(kind);
        crashWatch.onFinish(part);
      };
    },
    crashingRequest: () => crashingRequest,
    beginCrashingRequest(target) {
      crashingRequestCount += 1;
      const manners = [...Object.values(CrashMoment), undefined];
      const manner = manners[Math.floor(target / CRASHING_REQUEST_SHAPES) % manners.length];
      const shape = target % CRASHING_REQUEST_SHAPES;
      const isStream = shape < 2;
      const path = `${isStream ? STREAM_PREFIX : LOOK_UP_PREFIX}again-${crashingRequestCount}`;
      const begun = {
        target: path,
        kind: isStream ? CrashingKind.Stream : CrashingKind.LookUp,
        hasParts: shape === 0,
      };
      isSilentCrash = manner === undefined;
      const trigger = { target: path, moment: manner ?? CrashMoment.BeforeHead };
      const crashed = [...ranks, ...plainServers];
      for (const { runner } of crashed) runner.crashingRequest = trigger;
      crashingRequest = begun;
      return () => {
        if (crashingRequest !== begun) return;
        crashingRequest = undefined;
        for (const { runner } of crashed) runner.crashingRequest = undefined;
      };
    },
    endServer,
    noteRequest(requestId, entry, service) {
      retryWatch.onRequest(service);
      entryOf.set(requestId, entry);
      sentAt.set(requestId, performance.now());
    },
    callersAt: (entry) => ({ host: addressOf(Net.Entries, entry), port: CALLERS_PORT }),
    readinessAt: (entry) => ({ host: addressOf(Net.Entries, entry), port: READINESS_PORT }),
    configure,
    async stop() {
      clearInterval(heartbeat);
      group.stop();
      await Promise.all([...entries, ...sidecars].map((program) => program.end()));
      for (const server of servers) server.close();
    },
  };
}
