/**
 * Launches a whole site on this machine: stand-ins, entries and sidecars, each a process of
 * its own. Scaffolding for quickstart, tests and experiments; no product process starts
 * another.
 */
import { mkdirSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import { checkDocument } from '@lapisbridge/config';
import type { EnvironmentDocument, Settings } from '@lapisbridge/config';
import { settingsToRecord } from '@lapisbridge/instance';
import { InstanceState } from '@lapisbridge/types';

import { getJson, postJson } from './http-json.js';
import type { ManagedProcess } from './managed-process.js';
import { OPERATOR_TOKEN, startSite } from './start-site.js';
import type { BackendAddress, EntryAddress, SiteOptions } from './start-site.js';

export { OPERATOR_TOKEN, RANK_GROUP } from './start-site.js';
export type { SiteOptions } from './start-site.js';

const READY_MILLISECONDS = 30_000;
const POLL_MILLISECONDS = 50;
const EXAMPLES = new URL('../../../../examples/', import.meta.url);

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
  restart(id: string): ManagedProcess;
  /** Changes what the platform's lagging list says of an instance. */
  listAs(id: string, state: InstanceState): Promise<void>;
  /** Waits until each entry sees as many servers for a name as given. */
  waitForServers(name: string, count: number): Promise<void>;
  stop(): Promise<void>;
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
  const started = await startSite(options, document, folder);
  const { platformUrl, entries, processes } = started;

  async function until(what: string, check: () => Promise<boolean>): Promise<void> {
    const end = performance.now() + READY_MILLISECONDS;
    while (performance.now() < end) {
      if (await check().catch(() => false)) return;
      await sleep(POLL_MILLISECONDS);
    }
    throw new Error(`${what} did not come about; logs are in ${join(folder, 'logs')}`);
  }

  async function list(wanted: readonly Settings[], state: InstanceState): Promise<void> {
    const rows = wanted.map((settings) => ({ record: settingsToRecord(settings), state }));
    await postJson(`${platformUrl}/instances`, rows);
  }

  async function register(): Promise<void> {
    await until('the platform', async () => {
      await list(started.settings, InstanceState.Live);
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

  try {
    await register();
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
    effectsUrl: started.effectsUrl,
    entries,
    engines: started.engines,
    groupUrl: started.groupUrl,
    processes,
    folder,
    process: find,
    restart(id) {
      const again = started.restart(id);
      if (again === undefined) throw new Error(`no process is named ${id}`);
      return again;
    },
    listAs: (id, state) =>
      list(
        started.settings.filter(({ instanceId }) => instanceId === id),
        state,
      ),
    waitForServers,
    async stop() {
      await killAll();
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
