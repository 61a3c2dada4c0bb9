/**
 * The sidecar: the only gate to its backend server. It decides on its own knowledge, so a
 * stale entry costs a refusal and never a broken promise.
 */
import { randomUUID } from 'node:crypto';

import { createBatchingTable, createClaimStore, createSeenKeys } from '@lapisbridge/at-most-once';
import type { SidecarSettings } from '@lapisbridge/config';
import { ResultCode } from '@lapisbridge/errors';
import { createInstance } from '@lapisbridge/instance';
import type { Instance } from '@lapisbridge/instance';
import { parseRetryAfter } from '@lapisbridge/json-call';
import { sleep } from '@lapisbridge/kernel';
import { createStoreWatcher } from '@lapisbridge/platform';
import { Ran } from '@lapisbridge/types';
import type { LoadReport } from '@lapisbridge/types';
import { MessageKind } from '@lapisbridge/wire';
import type { AttemptId, Channel, KeyQuery, Message, RankOrder, Resume } from '@lapisbridge/wire';

import { createAvailabilityWatch } from './availability-watch.js';
import { createBackgroundRetry } from './background-retry.js';
import { createCallRunner } from './call-runner.js';
import { createDraftRunner } from './draft-runner.js';
import { createEngineClient } from './engine-client.js';
import { createGate } from './gate.js';
import { createLoadWatcher } from './load-watcher.js';
import { gatePolicyOf, limitsOf, placementOf, weightOf } from './policies.js';
import { createRankParts } from './rank-parts.js';
import { createServiceClient } from './service-client.js';
import { createLives } from './sidecar-lives.js';

export interface Sidecar {
  start(): Promise<void>;
  /** Refuses new work, lets what runs finish, says goodbye, stops. */
  stop(): Promise<void>;
}

const DRAIN_POLL_MILLISECONDS = 50;
/** After the last answer: time for its bytes to leave. */
const LINGER_MILLISECONDS = 200;

export function createSidecar(settings: SidecarSettings): Sidecar {
  const { backendServer, instanceId } = settings;
  let stopping = false;
  let listedLeaving = false;

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
  function noteBackoff(retryAfter: string): void {
    const milliseconds = parseRetryAfter(retryAfter);
    if (milliseconds === undefined) {
      logger.warn('server backoff unreadable', { server: backendServer.url });
      return;
    }
    if (milliseconds === 0) return;
    logger.info('server backoff', { server: backendServer.url, milliseconds });
    gate.suspend(milliseconds);
  }

  const background = createBackgroundRetry(random);
  const storeWatcher = createStoreWatcher(platform.table, random);
  const seenKeys = createSeenKeys();
  const lives = createLives({ table: platform.table, settings, random });
  const engine = createEngineClient(backendServer.url);
  const service = createServiceClient(backendServer.url, () => limits().maximumAnswerBytes);
  const loadWatcher = createLoadWatcher(
    backendServer.url,
    (evidence) => gate.observe(evidence),
    () => gate.load().running === 0 && gate.load().warm,
  );

  const common = {
    gate,
    noteUnreachable: () => loadWatcher.noteUnreachable(),
    noteBackoff,
    load,
    logger,
    limits,
    weightOf: (account: string) => weightOf(documentInForce(), account),
    running: () => gate.load().running,
  };
  const drafts = createDraftRunner({ ...common, engine });
  const calls = createCallRunner({
    ...common,
    service,
    claims: createClaimStore({
      table: createBatchingTable(platform.table),
      objects: platform.objects,
      environment: settings.environment,
      instanceId,
      createNonce: randomUUID,
    }),
    seenKeys,
    background,
    // Unregistered, this sidecar would run calls that a proof by memory could not know of.
    storeReachable: () => storeWatcher.reachable && lives.known() !== undefined,
    noteStore: (reachable) => storeWatcher.note(reachable),
  });

  function load(): LoadReport {
    return {
      ...gate.load(),
      // Entries choose other servers while this one backs off.
      backendReachable: loadWatcher.reachable && gate.suspendedMilliseconds() === 0,
      storeReachable: storeWatcher.reachable,
      draining: isDraining(),
    };
  }

  function unknownRequest(name: AttemptId, channel: Channel): void {
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
      seen: seen || lives.known() === undefined,
      knownLives: lives.known() ?? [],
      life: lives.own,
    });
  }

  async function obeyRankOrder(order: RankOrder, channel: Channel): Promise<void> {
    if (rankAgent === undefined) return;
    // Loading weights takes long, and the leader takes a silent rank for a lost one.
    channel.acquire();
    const reply = await rankAgent.obey(order);
    channel.send(reply);
    channel.release();
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
        void obeyRankOrder(message, channel);
        break;
      default:
        logger.warn('unexpected message', { kind: message.kind });
    }
  }

  async function finishWork(): Promise<void> {
    const deadline = instance.clock() + limits().maximumTimeoutMilliseconds;
    while ((drafts.isBusy() || calls.isBusy()) && instance.clock() < deadline) {
      await sleep(DRAIN_POLL_MILLISECONDS);
    }
    await background.flush();
    await sleep(LINGER_MILLISECONDS);
  }

  const rankAgent = createRankParts(instance, settings, () => placementOf(documentInForce()));
  kernel.register(
    'availability',
    createAvailabilityWatch(load, () => instance.peerListener.beat()),
  );
  kernel.register('lives', lives);
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
