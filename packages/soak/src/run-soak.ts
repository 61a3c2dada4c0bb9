/**
 * One run: a site under load and faults, then without faults until it serves again, and what
 * the promises say of all that callers and backend servers saw.
 */
import { request } from 'node:http';
import { fileURLToPath } from 'node:url';

import { checkAll, createHistory, EventKind } from '@lapisbridge/history';
import { createRandom, sleep } from '@lapisbridge/kernel';

import { createCallers, Kind } from './callers.js';
import type { Callers } from './callers.js';
import type { HandOverWatch } from './hand-over-watch.js';
import { injectFault } from './inject-fault.js';
import type { CrashWatch } from './crash-watch.js';
import { findBlamedParts } from './find-blamed-parts.js';
import { FaultKind, planFaults } from './plan-faults.js';
import type { DrawScheme, Fault } from './plan-faults.js';
import { startSite } from './site.js';
import type { Site } from './site.js';

export interface SoakOptions {
  readonly seed: number;
  readonly milliseconds: number;
  /** Defaults to a few dozen processes' worth of a small site. */
  readonly entries?: number;
  readonly ranks?: number;
  readonly callers?: number;
  /** Time of one pass of the ranks. */
  readonly passMilliseconds?: number;
  /** Requests per second that a rank takes while it is cold; unlimited when omitted. */
  readonly coldRequestsPerSecond?: number;
  readonly network: number;
  /** Folder of the bundled programs; those of this checkout without it. */
  readonly programs?: string;
  readonly scheme?: DrawScheme;
  /** Played instead of those drawn from the seed. */
  readonly faults?: readonly Fault[];
}

export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly Fault[];
  readonly violations: readonly string[];
  readonly sent: number;
  readonly served: number;
  /** Servers that ended under each request that crashes them. */
  readonly crashesByRequest: ReadonlyMap<string, number>;
  /** Highest map version at any rank: 0 when no map was ever changed. */
  readonly mapVersion: number;
  /** Where the programs' logs are. */
  readonly folder: string;
}

/** Folder of the programs that `npm run bundle` makes. */
export const BUNDLED_PROGRAMS = fileURLToPath(new URL('../../../target', import.meta.url));
const ENTRIES = 3;
const RANKS = 4;
const PLAIN_SERVERS = 3;
const CALLERS = 10;
const KEY = 'key';
/** Time in which a site without faults has to serve again; a stop alone may take eight seconds. */
const RECOVERY_MILLISECONDS = 30_000;
const RETRY_MILLISECONDS = 200;

function isReady(site: Site, entry: number): Promise<boolean> {
  return new Promise((resolve) => {
    const outgoing = request({ ...site.readinessAt(entry), path: '/readyz' }, (incoming) => {
      incoming.resume();
      resolve(incoming.statusCode === 200);
    });
    outgoing.on('error', () => resolve(false));
    outgoing.end();
  });
}

/** Waits until something holds; false when it does not in time. */
async function eventually(holds: () => Promise<boolean>): Promise<boolean> {
  const until = performance.now() + RECOVERY_MILLISECONDS;
  while (performance.now() < until) {
    if (await holds()) return true;
    await sleep(RETRY_MILLISECONDS);
  }
  return false;
}

/** Every entry has to serve every kind of request once more. */
async function findUnserved(site: Site, callers: Callers): Promise<string[]> {
  const unserved: string[] = [];
  for (const [index, { name }] of site.entries.entries()) {
    for (const kind of Object.values(Kind)) {
      const isServed = await eventually(() => callers.call(index, kind));
      if (!isServed) unserved.push(`not recovered: ${name} serves no ${kind}`);
    }
  }
  return unserved;
}

/** The watches that compare with times without the fault. */
function otherWatches(site: Site, kind: FaultKind): (CrashWatch | HandOverWatch)[] {
  const watches: (CrashWatch | HandOverWatch)[] = [];
  if (kind !== FaultKind.CrashingPart) watches.push(site.crashWatch);
  if (kind !== FaultKind.HandOver) watches.push(site.handOverWatch);
  return watches;
}

async function playFaults(site: Site, faults: readonly Fault[]): Promise<void> {
  await Promise.all(
    faults.map(async (fault) => {
      await sleep(fault.at);
      const others = otherWatches(site, fault.kind);
      for (const watch of others) watch.onOtherFault();
      const lift = injectFault(site, fault);
      await sleep(fault.lasts);
      lift();
      for (const watch of others) watch.onOtherFaultLifted();
    }),
  );
}

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, milliseconds } = options;
  const faults = options.faults ?? planFaults(seed, milliseconds, options.scheme);
  const random = createRandom(seed);
  const history = createHistory();
  const violations: string[] = [];
  const site = await startSite({
    random,
    history,
    entries: options.entries ?? ENTRIES,
    ranks: options.ranks ?? RANKS,
    plainServers: PLAIN_SERVERS,
    passMilliseconds: options.passMilliseconds,
    coldRequestsPerSecond: options.coldRequestsPerSecond,
    network: options.network,
    programs: options.programs ?? BUNDLED_PROGRAMS,
    onOwnEnd: (name, status) => violations.push(`own end: ${name} with ${status}`),
  });
  const callers = createCallers(site, history, random, KEY);
  try {
    site.configure([KEY]);
    for (const index of site.entries.keys()) {
      if (!(await eventually(() => isReady(site, index)))) violations.push('never ready');
    }
    await Promise.all([
      callers.run(options.callers ?? CALLERS, milliseconds),
      playFaults(site, faults),
    ]);
    violations.push(...(await findUnserved(site, callers)));
    site.crashWatch.conclude();
    site.handOverWatch.conclude();
    site.retryWatch.conclude();
    for (const { instanceId, part } of findBlamedParts(site)) {
      if (site.crashWatch.isCrashing(part)) continue;
      history.record({ kind: EventKind.SoundPartBlamed, instanceId, part });
    }
    for (const { promise, detail } of checkAll(history.events)) {
      violations.push(`${promise}: ${detail}`);
    }
    violations.push(...callers.violations);
    const mapVersion = Math.max(...site.group.ranks.map(({ version }) => version));
    return {
      seed,
      faults,
      violations,
      ...callers.tally(),
      crashesByRequest: site.crashingRequestWatch.crashes(),
      mapVersion,
      folder: site.folder,
    };
  } finally {
    callers.close();
    await site.stop();
  }
}
