/**
 * The sidecar: the only gate to its backend server. It decides on its own knowledge, so a
 * stale entry costs a refusal and never a broken promise.
 */
import { randomUUID } from 'node:crypto';

import { batchingTable, createClaims, createSeenKeys } from '@lapisbridge/at-most-once';
import type { SidecarSettings } from '@lapisbridge/config';
import { ResultCode } from '@lapisbridge/errors';
import { createInstance } from '@lapisbridge/instance';
import type { Instance } from '@lapisbridge/instance';
import { sleep } from '@lapisbridge/kernel';
import { createStoreWatcher } from '@lapisbridge/platform';
import { leaseKey } from '@lapisbridge/placement';
import type { LeaseRecord } from '@lapisbridge/placement';
import { BackendServerKind, Ran } from '@lapisbridge/types';
import type { LoadReport } from '@lapisbridge/types';
import { MessageKind } from '@lapisbridge/wire';
import type { AttemptName, Channel, KeyQuery, Message, Resume } from '@lapisbridge/wire';

import { createBackgroundRetry } from './background-retry.js';
import { createCallRunner } from './call-runner.js';
import { createDraftRunner } from './draft-runner.js';
import { createEngineClient } from './engine-client.js';
import { createGate } from './gate.js';
import { createGroupLeader } from './group-leader.js';
import { createLoadWatcher } from './load-watcher.js';
import { gatePolicyOf, limitsOf, placementOf, weightOf } from './policies.js';
import { createRankAgent } from './rank-agent.js';
import type { RankAgent } from './rank-agent.js';
import { createRankEngine } from './rank-engine.js';
import { createServiceClient } from './service-client.js';
import { readLives, registerLife } from './sidecar-lives.js';

export interface Sidecar {
  start(): Promise<void>;
  /** Refuses new work, lets what runs finish, says goodbye, stops. */
  stop(): Promise<void>;
}

const DRAIN_POLL_MILLISECONDS = 50;
/** After the last answer: time for its bytes to leave. */
const LINGER_MILLISECONDS = 200;
const REGISTER_RETRY_MILLISECONDS = 500;
const LIVES_MILLISECONDS = 2000;
const AVAILABILITY_MILLISECONDS = 250;

export function createSidecar(settings: SidecarSettings): Sidecar {
  const { backendServer, instanceId } = settings;
  let stopping = false;
  let listedLeaving = false;
  let knownLives: readonly string[] | undefined;
  const life = `${instanceId}/${randomUUID()}`;

  const instance: Instance = createInstance(settings, {
    onMessage,
    onChannelClose: (channel) => drafts.channelClosed(channel),
    onMemberChange: () => undefined,
    onOwnLeaving() {
      if (listedLeaving) return;
      listedLeaving = true;
      logger.decision({
        kind: 'drain',
        subject: instanceId,
        choice: 'refuse new work',
        reason: 'the instance list says leaving',
      });
    },
    load,
  });
  const { logger, platform, random, state, kernel } = instance;
  const documentInForce = () => state.configuration?.document;
  const limits = () => limitsOf(documentInForce());

  function isDraining(): boolean {
    return stopping || listedLeaving || state.isDrained(instanceId, settings.availabilityZone);
  }

  const gate = createGate({
    logger,
    name: instanceId,
    policy: () => gatePolicyOf(documentInForce(), backendServer),
    isDraining,
    isBackendReachable: () => loadWatcher.reachable,
  });
  const background = createBackgroundRetry(random);
  const storeWatcher = createStoreWatcher(platform.table, random);
  const seenKeys = createSeenKeys();
  const engine = createEngineClient(backendServer.url);
  const service = createServiceClient(backendServer.url, () => limits().maximumAnswerBytes);
  const loadWatcher = createLoadWatcher(backendServer.url, (evidence) => gate.observe(evidence));

  const common = {
    gate,
    noteUnreachable: () => loadWatcher.noteUnreachable(),
    logger,
    limits,
    weightOf: (account: string) => weightOf(documentInForce(), account),
    running: () => gate.load().running,
  };
  const drafts = createDraftRunner({ ...common, engine });
  const calls = createCallRunner({
    ...common,
    service,
    claims: createClaims({
      table: batchingTable(platform.table),
      objects: platform.objects,
      environment: settings.environment,
      instanceId,
      createNonce: randomUUID,
    }),
    seenKeys,
    background,
    // Unregistered, this sidecar would run calls that a proof by memory could not know of.
    storeReachable: () => storeWatcher.reachable && knownLives !== undefined,
    noteStore: (reachable) => storeWatcher.note(reachable),
  });

  function load(): LoadReport {
    return {
      ...gate.load(),
      backendReachable: loadWatcher.reachable,
      storeReachable: storeWatcher.reachable,
      draining: isDraining(),
    };
  }

  function unknownRequest(name: AttemptName, channel: Channel): void {
    channel.send({
      kind: MessageKind.Failed,
      requestId: name.requestId,
      attempt: name.attempt,
      code: ResultCode.UnknownRequest,
      reason: 'this sidecar does not hold the request',
      ran: Ran.Unknown,
      retryAfterMilliseconds: 0,
    });
  }

  function resume(message: Resume, channel: Channel): void {
    if (drafts.resume(message, channel) || calls.resume(message, channel)) return;
    unknownRequest(message, channel);
  }

  function answerKeyQuery(message: KeyQuery, channel: Channel): void {
    const seen = seenKeys.has(message.account, message.idempotencyKey) || !seenKeys.complete;
    channel.send({
      kind: MessageKind.KeyAnswer,
      queryId: message.queryId,
      // Without a registered life the memory proves nothing, so the key counts as seen.
      seen: seen || knownLives === undefined,
      knownLives: knownLives ?? [],
      life,
    });
  }

  function onMessage(message: Message, channel: Channel): void {
    switch (message.kind) {
      case MessageKind.DraftStart:
        drafts.start(message, channel);
        break;
      case MessageKind.CallStart:
        calls.start(message, channel);
        break;
      case MessageKind.Credit:
        drafts.credit(message);
        break;
      case MessageKind.Cancel:
        drafts.cancel(message);
        calls.cancel(message);
        break;
      case MessageKind.Detach:
        drafts.detach(message, channel);
        break;
      case MessageKind.Resume:
        resume(message, channel);
        break;
      case MessageKind.KeyQuery:
        answerKeyQuery(message, channel);
        break;
      case MessageKind.RankOrder:
        void rankAgent?.obey(message).then((reply) => channel.send(reply));
        break;
      default:
        logger.warn('unexpected message', { kind: message.kind });
    }
  }

  /** The parts of a sidecar whose backend server is one rank of a group. */
  function createRankParts(): RankAgent | undefined {
    if (backendServer.kind !== BackendServerKind.ModelRunner) return undefined;
    const place = backendServer.rankPlace;
    if (place === undefined) return undefined;
    const rankEngine = createRankEngine(backendServer.url);
    const agent = createRankAgent({
      engine: rankEngine,
      logger,
      async seenFencingNumber() {
        const key = leaseKey(settings.environment, place.group);
        const row = await platform.table.read(key).catch(() => undefined);
        if (row === undefined) return undefined;
        return (row?.value as LeaseRecord | undefined)?.fencingNumber ?? 0;
      },
    });
    const leader = createGroupLeader({
      instance,
      place,
      agent,
      policy: () => placementOf(documentInForce()),
    });
    kernel.register('rankEngine', { stop: () => rankEngine.close() });
    kernel.register('groupLeader', leader);
    return agent;
  }

  /** Tells entries at once when this sidecar becomes, or ceases to be, of use to them. */
  function createAvailabilityWatch(): { start(): void; stop(): void } {
    let timer: NodeJS.Timeout | undefined;
    let told = '';
    const describe = (): string => {
      const { warm, backendReachable, storeReachable, draining } = load();
      return [warm, backendReachable, storeReachable, draining].join();
    };
    return {
      start() {
        timer = setInterval(() => {
          const now = describe();
          if (now === told) return;
          told = now;
          instance.peerListener.beat();
        }, AVAILABILITY_MILLISECONDS);
      },
      stop() {
        clearInterval(timer);
      },
    };
  }

  async function register(): Promise<void> {
    if (backendServer.kind !== BackendServerKind.PlainService) return;
    const { environment } = settings;
    knownLives = await registerLife(platform.table, environment, backendServer.service, life);
    if (stopping) return;
    const next = knownLives === undefined ? register : refreshLives;
    setTimeout(() => void next(), REGISTER_RETRY_MILLISECONDS * (0.5 + random())).unref();
  }

  /** Sidecars that start later and die before an outage must be known to the others too. */
  async function refreshLives(): Promise<void> {
    if (backendServer.kind !== BackendServerKind.PlainService) return;
    const { environment } = settings;
    const lives = await readLives(platform.table, environment, backendServer.service).catch(
      () => knownLives,
    );
    knownLives = lives;
    if (stopping) return;
    setTimeout(() => void refreshLives(), LIVES_MILLISECONDS * (0.5 + random())).unref();
  }

  async function finishWork(): Promise<void> {
    const deadline = instance.clock() + limits().maximumTimeoutMilliseconds;
    while ((drafts.isBusy() || calls.isBusy()) && instance.clock() < deadline) {
      await sleep(DRAIN_POLL_MILLISECONDS);
    }
    await background.flush();
    await sleep(LINGER_MILLISECONDS);
  }

  const rankAgent = createRankParts();
  kernel.register('availability', createAvailabilityWatch());
  kernel.register('loadWatcher', loadWatcher);
  kernel.register('backend', {
    stop() {
      engine.close();
      service.close();
      background.stop();
      storeWatcher.stop();
    },
  });

  return {
    async start() {
      await kernel.start();
      await register();
      logger.info('started', { role: settings.role, backendServer: backendServer.kind });
    },
    async stop() {
      stopping = true;
      logger.info('stopping');
      instance.membership.announceLeaving();
      instance.peerListener.broadcast({ kind: MessageKind.Goodbye });
      await finishWork();
      await kernel.stop();
      logger.info('stopped');
    },
  };
}
