/**
 * Launches a whole site on this machine: stand-ins, entries and sidecars, each a process of
 * its own. Scaffolding for quickstart, tests and experiments; no product process starts
 * another.
 */
import { createHash } from 'node:crypto';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { checkDocument } from '@lapisbridge/config';
import type { EnvironmentDocument, Settings } from '@lapisbridge/config';
import { settingsToRecord } from '@lapisbridge/instance';
import { StandInKind } from '@lapisbridge/stand-ins';
import type { EngineOptions } from '@lapisbridge/stand-ins';
import { BackendServerKind, InstanceState, Role } from '@lapisbridge/types';

import { createPortFinder } from './free-ports.js';
import type { PortFinder } from './free-ports.js';
import { getJson, postJson } from './http-json.js';
import { startProcess } from './managed-process.js';
import type { ManagedProcess } from './managed-process.js';

export const OPERATOR_TOKEN = 'example-operator-token';
const HOST = '127.0.0.1';
export const RANK_GROUP = 'group-1';
/** The group's ranks serve no drafts in the stand-in: no document names this model. */
const RANK_GROUP_MODEL = 'expert-group';
const READY_MILLISECONDS = 30_000;
const POLL_MILLISECONDS = 50;
const DAEMON = fileURLToPath(new URL('../../../daemon/dist/bin.js', import.meta.url));
const STAND_IN = fileURLToPath(new URL('../../../stand-ins/dist/main.js', import.meta.url));
const EXAMPLES = new URL('../../../../examples/', import.meta.url);

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
  /** Changes the example document before it is applied. */
  adjust?(document: EnvironmentDocument): EnvironmentDocument;
}

export interface EntryAddress {
  readonly id: string;
  readonly availabilityZone: string;
  readonly url: string;
  readonly operatorUrl: string;
}

export interface BackendAddress {
  readonly id: string;
  readonly sidecarId: string;
  readonly availabilityZone: string;
  readonly url: string;
}

export interface Site {
  readonly document: EnvironmentDocument;
  readonly documentText: string;
  readonly platformUrl: string;
  readonly effectsUrl: string;
  readonly entries: readonly EntryAddress[];
  readonly engines: readonly BackendAddress[];
  /** Control address of the rank group stand-in; empty without one. */
  readonly groupUrl: string;
  readonly processes: readonly ManagedProcess[];
  readonly folder: string;
  process(id: string): ManagedProcess;
  /** Starts a process again that has exited, with the same settings. */
  restart(id: string): Promise<ManagedProcess>;
  /** Waits until each entry sees as many servers for a name as given. */
  waitForServers(name: string, count: number): Promise<void>;
  stop(): Promise<void>;
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

function hash(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function readExample(options: SiteOptions): { document: EnvironmentDocument; text: string } {
  const text = readFileSync(new URL(`${options.example}.json`, EXAMPLES), 'utf8');
  const document = checkDocument(text).unsafeCoerce();
  if (options.adjust === undefined) return { document, text };
  const adjusted = options.adjust(document);
  return { document: adjusted, text: JSON.stringify(adjusted, null, 2) };
}

/** Key of an example account; the documents in examples/ hold its hash. */
export function accountKey(account: string): string {
  return `example-key-${account}`;
}

export async function launchSite(options: SiteOptions): Promise<Site> {
  const { document, text } = readExample(options);
  const folder = mkdtempSync(join(tmpdir(), 'lapisbridge-'));
  mkdirSync(join(folder, 'logs'));
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
    launchDaemon({
      role: Role.Entry,
      ...common,
      instanceId,
      availabilityZone: zone,
      listen,
      operatorTokenHash: hash(OPERATOR_TOKEN),
    });
    entries.push({
      id: instanceId,
      availabilityZone: zone,
      url: `http://${HOST}:${listen.callerPort}`,
      operatorUrl: `http://${HOST}:${listen.operatorPort}`,
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

  async function until(what: string, check: () => Promise<boolean>): Promise<void> {
    const end = performance.now() + READY_MILLISECONDS;
    while (performance.now() < end) {
      if (await check().catch(() => false)) return;
      await sleep(POLL_MILLISECONDS);
    }
    throw new Error(`${what} did not come about; logs are in ${join(folder, 'logs')}`);
  }

  async function register(): Promise<void> {
    const rows = settingsList.map((settings) => ({
      record: settingsToRecord(settings),
      state: InstanceState.Live,
    }));
    await until('the platform', async () => {
      await postJson(`${platformUrl}/instances`, rows);
      return true;
    });
  }

  async function waitForServers(name: string, wanted: number): Promise<void> {
    // An entry keeps connections to a subset once there are many servers.
    const count = Math.min(wanted, document.routing.subsetSize);
    for (const entry of entries) {
      await until(`${count} servers for ${name} at ${entry.id}`, async () => {
        const status = await getJson<{ instances: { serves?: string[]; load?: unknown }[] }>(
          `${entry.operatorUrl}/v1/status`,
          OPERATOR_TOKEN,
        );
        const serving = status.instances.filter(
          (instance) => instance.load !== undefined && instance.serves?.includes(name) === true,
        );
        return serving.length >= count;
      });
    }
  }

  async function killAll(): Promise<void> {
    await Promise.all(processes.filter((one) => !one.exited).map((one) => one.kill()));
  }

  async function launchProducts(): Promise<{ effectsUrl: string; groupUrl: string }> {
    const runnersPerZone = options.runnersPerZone ?? 1;
    for (const { name: zone } of document.availabilityZones) {
      for (let index = 1; index <= (options.entriesPerZone ?? 1); index += 1) {
        await addEntry(zone, index);
      }
      for (let index = 1; index <= runnersPerZone; index += 1) await addRunner(zone, index);
    }
    const effectsUrl = await addServices();
    const groupUrl = options.ranks === undefined ? '' : await addRankGroup(options.ranks);
    await register();
    return { effectsUrl, groupUrl };
  }

  async function awaitService(): Promise<void> {
    const [first] = entries;
    if (first === undefined) throw new Error('a site needs an entry');
    await until('the first configuration', async () => {
      const body = { base: 0, text, author: 'launcher' };
      await postJson(`${first.operatorUrl}/v1/document`, body, OPERATOR_TOKEN);
      return true;
    });
    for (const entry of entries) {
      await until(`readiness of ${entry.id}`, async () => {
        await getJson(`${entry.url}/readyz`);
        return true;
      });
    }
    const zones = document.availabilityZones.length;
    const runners = (options.runnersPerZone ?? 1) * zones;
    for (const { name } of document.models) await waitForServers(name, runners);
    const services = (options.servicesPerZone ?? 1) * zones;
    for (const { name } of document.services) await waitForServers(name, services);
  }

  const { effectsUrl, groupUrl } = await launchProducts();
  try {
    await awaitService();
  } catch (thrown) {
    // Children outlive their parent: a launch that failed would leave them running for good.
    await killAll();
    throw thrown;
  }

  function find(id: string): ManagedProcess {
    const found = processes.find((one) => one.id === id && !one.exited);
    if (found === undefined) throw new Error(`no running process is named ${id}`);
    return found;
  }

  return {
    document,
    documentText: text,
    platformUrl,
    effectsUrl,
    entries,
    engines,
    groupUrl,
    processes,
    folder,
    process: find,
    async restart(id) {
      const start = restarts.get(id);
      if (start === undefined) throw new Error(`no process is named ${id}`);
      const started = start();
      processes.push(started);
      return started;
    },
    waitForServers,
    async stop() {
      await killAll();
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
