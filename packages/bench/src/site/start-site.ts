/**
 * Starts the processes of a site: stand-ins, entries and sidecars, each with settings of its own.
 */
import { createHash } from 'node:crypto';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import type { EntrySettings, EnvironmentDocument, Settings } from '@lapisbridge/config';
import { StandInKind } from '@lapisbridge/stand-ins';
import type { EngineOptions } from '@lapisbridge/stand-ins';
import { BackendServerKind, Role } from '@lapisbridge/types';

import { createPortFinder } from './free-ports.js';
import type { PortFinder } from './free-ports.js';
import { startProcess } from './managed-process.js';
import type { ManagedProcess } from './managed-process.js';

export const OPERATOR_TOKEN = 'example-operator-token';
export const RANK_GROUP = 'group-1';
/** The group's ranks serve no drafts in the stand-in: no document names this model. */
const RANK_GROUP_MODEL = 'expert-group';
const HOST = '127.0.0.1';
const DAEMON = fileURLToPath(new URL('../../../daemon/dist/bin.js', import.meta.url));
const STAND_IN = fileURLToPath(new URL('../../../stand-ins/dist/main.js', import.meta.url));

export interface SiteOptions {
  /** Name of a document in examples/. */
  readonly example: string;
  readonly runnersPerZone?: number;
  readonly servicesPerZone?: number;
  readonly entriesPerZone?: number;
  /** Ranks of a group in the first zone; none when left out. */
  readonly ranks?: number;
  /** Uses a running platform instead of starting one. */
  readonly platformUrl?: string;
  readonly engine?: Partial<EngineOptions>;
  readonly platformTimeoutMilliseconds?: number;
  /** Settings of all entries. */
  readonly entrySettings?: Pick<EntrySettings, 'machine' | 'transportSecurity'>;
  /** Changes the example document before it is applied. */
  adjust?(document: EnvironmentDocument): EnvironmentDocument;
}

export interface EntryAddress {
  readonly id: string;
  readonly availabilityZone: string;
  readonly url: string;
  readonly operatorUrl: string;
  /** Port for other instances. */
  readonly peerPort: number;
}

export interface BackendAddress {
  readonly id: string;
  readonly sidecarId: string;
  readonly availabilityZone: string;
  readonly url: string;
}

const DEFAULT_ENGINE = {
  host: HOST,
  stepMilliseconds: 8,
  warmUpTokens: 40,
  coldCapacity: 4,
  prefillMillisecondsPerBlock: 2,
  cacheBlocks: 4096,
  reportLagMilliseconds: 200,
};

/** What has been started, with its addresses. */
export interface StartedSite {
  readonly platformUrl: string;
  readonly effectsUrl: string;
  /** Control address of the rank group stand-in; empty without one. */
  readonly groupUrl: string;
  readonly entries: readonly EntryAddress[];
  readonly engines: readonly BackendAddress[];
  readonly settings: readonly Settings[];
  readonly processes: ManagedProcess[];
  /** Starts a process again with the same settings; undefined for an unknown id. */
  restart(id: string): ManagedProcess | undefined;
}

function hash(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

export async function startSite(
  options: SiteOptions,
  document: EnvironmentDocument,
  folder: string,
): Promise<StartedSite> {
  const ports: PortFinder = createPortFinder();
  const processes: ManagedProcess[] = [];
  const restarts = new Map<string, () => ManagedProcess>();
  const settingsList: Settings[] = [];
  const entries: EntryAddress[] = [];
  const engines: BackendAddress[] = [];

  function launch(
    id: string,
    role: string,
    availabilityZone: string,
    script: string,
    parameters: readonly string[],
  ): void {
    const logFile = join(folder, 'logs', `${id}.log`);
    const start = (): ManagedProcess =>
      startProcess({ id, role, availabilityZone, script, parameters, logFile });
    processes.push(start());
    restarts.set(id, start);
  }

  function launchStandIn(id: string, zone: string, kind: StandInKind, given: unknown): void {
    launch(id, kind, zone, STAND_IN, [kind, JSON.stringify(given)]);
  }

  function launchDaemon(settings: Settings): void {
    const file = join(folder, `${settings.instanceId}.json`);
    writeFileSync(file, JSON.stringify(settings, null, 2));
    settingsList.push(settings);
    const parameters = ['--settings', file];
    launch(settings.instanceId, settings.role, settings.availabilityZone, DAEMON, parameters);
  }

  async function startPlatform(): Promise<string> {
    if (options.platformUrl !== undefined) return options.platformUrl;
    const port = await ports.next();
    launchStandIn('platform', 'platform', StandInKind.Platform, {
      host: HOST,
      port,
      listLagMilliseconds: 100,
    });
    return `http://${HOST}:${port}`;
  }

  const platformUrl = await startPlatform();
  const common = {
    environment: document.name,
    platform: { url: platformUrl, timeoutMilliseconds: options.platformTimeoutMilliseconds ?? 500 },
    logLevel: 'info',
    logFormat: 'json',
  } as const;

  async function addEntry(zone: string, index: number): Promise<void> {
    const listen = {
      host: HOST,
      callerPort: await ports.next(),
      operatorPort: await ports.next(),
      peerPort: await ports.next(),
    };
    const instanceId = `${zone}-entry-${index}`;
    const scheme = options.entrySettings?.transportSecurity === undefined ? 'http' : 'https';
    launchDaemon({
      role: Role.Entry,
      ...common,
      instanceId,
      availabilityZone: zone,
      listen,
      operatorTokenHash: hash(OPERATOR_TOKEN),
      ...options.entrySettings,
    });
    entries.push({
      id: instanceId,
      availabilityZone: zone,
      url: `${scheme}://${HOST}:${listen.callerPort}`,
      operatorUrl: `${scheme}://${HOST}:${listen.operatorPort}`,
      peerPort: listen.peerPort,
    });
  }

  async function addRunner(zone: string, index: number): Promise<void> {
    const port = await ports.next();
    const id = `${zone}-engine-${index}`;
    const given = { ...DEFAULT_ENGINE, ...options.engine, port };
    launchStandIn(id, zone, StandInKind.Engine, given);
    const instanceId = `${zone}-runner-${index}`;
    const url = `http://${HOST}:${port}`;
    launchDaemon({
      role: Role.Sidecar,
      ...common,
      instanceId,
      availabilityZone: zone,
      listen: { host: HOST, peerPort: await ports.next() },
      backendServer: {
        kind: BackendServerKind.ModelRunner,
        models: document.models.map(({ name }) => name),
        url,
      },
    });
    engines.push({ id, sidecarId: instanceId, availabilityZone: zone, url });
  }

  async function addServices(): Promise<string> {
    const service = document.services[0]?.name ?? '';
    const perZone = options.servicesPerZone ?? 1;
    const servicePorts: number[] = [];
    for (const { name: zone } of document.availabilityZones) {
      for (let index = 1; index <= perZone; index += 1) {
        const port = await ports.next();
        servicePorts.push(port);
        launchDaemon({
          role: Role.Sidecar,
          ...common,
          instanceId: `${zone}-${service}-${index}`,
          availabilityZone: zone,
          listen: { host: HOST, peerPort: await ports.next() },
          backendServer: {
            kind: BackendServerKind.PlainService,
            service,
            url: `http://${HOST}:${port}`,
          },
        });
      }
    }
    const effectsPort = await ports.next();
    launchStandIn(`${document.name}-service`, 'services', StandInKind.PlainService, {
      host: HOST,
      ports: servicePorts,
      effectsPort,
    });
    return `http://${HOST}:${effectsPort}`;
  }

  async function addRankGroup(ranks: number): Promise<string> {
    const zone = document.availabilityZones[0]?.name ?? '';
    const rankPorts: number[] = [];
    for (let rank = 0; rank < ranks; rank += 1) {
      const port = await ports.next();
      rankPorts.push(port);
      launchDaemon({
        role: Role.Sidecar,
        ...common,
        instanceId: `${zone}-rank-${rank}`,
        availabilityZone: zone,
        listen: { host: HOST, peerPort: await ports.next() },
        backendServer: {
          kind: BackendServerKind.ModelRunner,
          models: [RANK_GROUP_MODEL],
          url: `http://${HOST}:${port}`,
          rankPlace: { group: RANK_GROUP, rank, size: ranks },
        },
      });
    }
    const controlPort = await ports.next();
    launchStandIn(`${RANK_GROUP}-ranks`, zone, StandInKind.RankGroup, {
      host: HOST,
      ports: rankPorts,
      controlPort,
      experts: document.placement.experts,
      stepMilliseconds: 5,
      loadMillisecondsPerExpert: 2,
    });
    return `http://${HOST}:${controlPort}`;
  }

  const runnersPerZone = options.runnersPerZone ?? 1;
  for (const { name: zone } of document.availabilityZones) {
    for (let index = 1; index <= (options.entriesPerZone ?? 1); index += 1) {
      await addEntry(zone, index);
    }
    for (let index = 1; index <= runnersPerZone; index += 1) await addRunner(zone, index);
  }
  const effectsUrl = await addServices();
  const groupUrl = options.ranks === undefined ? '' : await addRankGroup(options.ranks);

  return {
    platformUrl,
    effectsUrl,
    groupUrl,
    entries,
    engines,
    settings: settingsList,
    processes,
    restart(id) {
      const started = restarts.get(id)?.();
      if (started !== undefined) processes.push(started);
      return started;
    },
  };
}
