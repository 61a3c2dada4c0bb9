/**
 * First run: starts a whole site from examples/, sends drafts, look-ups and a booking
 * through it, prints every answer with the instance that served it, and stops. With
 * `--serve` it stays up and prints one `ready` line instead.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { OperationKind } from '@lapisbridge/types';

import { createCaller } from './site/caller.js';
import type { Caller } from './site/caller.js';
import { getJson } from './site/http-json.js';
import { accountKey, launchSite, OPERATOR_TOKEN, RANK_GROUP } from './site/site.js';
import type { Site } from './site/site.js';

/** What is sent through a site: a shared preamble, three drafts, a look-up and a booking. */
interface Script {
  readonly preamble: string;
  readonly tasks: readonly string[];
  readonly lookUp: unknown;
  readonly booking: unknown;
}

const SCRIPTS: Readonly<Record<string, Script>> = {
  brno: {
    preamble:
      'You write for Hasicí Revize after a sprinkler walk-down. Be exact, name the valve and ' +
      'the floor, and keep to what the inspector saw. Findings: zone valve 3 is seized, two ' +
      'heads on the second floor are painted over, the gauge at the riser reads 2.1 bar. ',
    tasks: [
      'Write the defect summary.',
      'Write the remedial quote.',
      'Write a plain-language letter to the building manager.',
    ],
    lookUp: { site: 'Brno, Vlněna 5' },
    booking: { site: 'Brno, Vlněna 5', slot: '2026-12-10T09:00' },
  },
  wholesale: {
    preamble:
      'You write for Pânzaria Comună to an art-supply shop. Name each canvas by width and ' +
      'weight, give prices in lei, and keep to the stock that is given. Stock: 40 rolls of ' +
      'primed cotton 210 cm, 12 rolls of linen 160 cm, 600 stretcher bars 50 cm. ',
    tasks: ['Write the quote.', 'Write the stock summary.', 'Suggest a reorder.'],
    lookUp: { site: 'warehouse Cluj' },
    booking: { article: 'linen-160', rolls: 4 },
  },
};

function scriptOf(site: Site): Script {
  return SCRIPTS[site.document.name] ?? SCRIPTS.brno;
}

const RANKS = 4;
const GROUP_LOOKS = 100;
const GROUP_LOOK_MILLISECONDS = 100;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

interface Explanation {
  readonly decisions: readonly { readonly kind: string; readonly choice: string }[];
}

async function servedBy(operatorUrl: string, requestId: string): Promise<string> {
  const url = `${operatorUrl}/v1/explain/${requestId}`;
  const { decisions } = await getJson<Explanation>(url, OPERATOR_TOKEN);
  return decisions.filter(({ kind }) => kind === 'routing').at(-1)?.choice ?? 'unknown';
}

async function showDrafts(site: Site, caller: Caller): Promise<number> {
  const model = site.document.models[0]?.name ?? '';
  const account = site.document.accounts[0]?.name ?? '';
  const { preamble, tasks } = scriptOf(site);
  let whole = 0;
  const replies = await Promise.all(
    tasks.map(async (task, index) => {
      const entry = site.entries[index % site.entries.length];
      if (entry === undefined) throw new Error('no entry');
      const messages = [
        { role: 'system', content: preamble },
        { role: 'user', content: task },
      ];
      return { task, entry, reply: await caller.draft(entry.url, { account, model, messages }) };
    }),
  );
  for (const { task, entry, reply } of replies) {
    const server = await servedBy(entry.operatorUrl, reply.requestId);
    print(`\ndraft: ${task}\n  by ${entry.id} and ${server}, whole: ${reply.complete}`);
    print(`  ${reply.text.trim()}`);
    if (reply.complete) whole += 1;
  }
  return whole;
}

async function showCall(
  site: Site,
  caller: Caller,
  path: string,
  body: unknown,
  idempotencyKey?: string,
): Promise<boolean> {
  const [entry] = site.entries;
  const account = site.document.accounts[0]?.name ?? '';
  if (entry === undefined) throw new Error('no entry');
  const reply = await caller.call(entry.url, {
    account,
    path,
    body,
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
  });
  const replayed = reply.replayed ? ', replayed' : '';
  print(
    `\n${path}: ${reply.status} by ${entry.id} and ${reply.instance || 'the claim row'}${replayed}`,
  );
  print(`  ${JSON.stringify(reply.body)}`);
  return reply.status === 200;
}

interface GroupView {
  readonly step: number;
  readonly versions: readonly number[];
}

/** The group steps once its leader has brought all ranks onto the first map. */
async function showGroup(site: Site): Promise<boolean> {
  for (let look = 0; look < GROUP_LOOKS; look += 1) {
    const { step, versions } = await getJson<GroupView>(site.groupUrl);
    const together = new Set(versions).size === 1 && (versions[0] ?? 0) > 0;
    if (together && step > 0) {
      print(`\n${RANK_GROUP}: ${RANKS} ranks at step ${step}, all on map ${versions[0]}`);
      return true;
    }
    await sleep(GROUP_LOOK_MILLISECONDS);
  }
  print(`\n${RANK_GROUP}: the ranks did not come onto one map`);
  return false;
}

interface Paths {
  readonly booking: string;
  readonly lookUp: string;
}

function pathsOf(site: Site): Paths {
  const service = site.document.services[0];
  const find = (kind: OperationKind): string =>
    service?.operations.find((operation) => operation.kind === kind)?.path ?? '/';
  return {
    booking: `/services/${service?.name}${find(OperationKind.AtMostOnce)}`,
    lookUp: `/services/${service?.name}${find(OperationKind.Idempotent)}`,
  };
}

/** One JSON line, so that anyone can drive the site. */
function readyLine(site: Site): string {
  const accounts = Object.fromEntries(
    site.document.accounts.map(({ name }) => [name, accountKey(name)]),
  );
  const { booking, lookUp } = pathsOf(site);
  const ready = {
    entries: site.entries.map(({ url }) => url),
    operator: site.entries[0]?.operatorUrl,
    operators: site.entries.map(({ operatorUrl }) => operatorUrl),
    operatorToken: OPERATOR_TOKEN,
    accounts,
    models: site.document.models.map(({ name }) => name),
    booking,
    lookUp,
    effects: `${site.effectsUrl}/effects`,
    platform: site.platformUrl,
    rankGroup: site.groupUrl,
    processes: site.processes.map(({ role, id, availabilityZone, pid }) => ({
      role,
      id,
      availabilityZone,
      pid,
    })),
  };
  return `ready ${JSON.stringify(ready)}`;
}

async function show(site: Site): Promise<boolean> {
  const caller = createCaller();
  const { booking, lookUp } = pathsOf(site);
  const script = scriptOf(site);
  const drafts = await showDrafts(site, caller);
  const found = await showCall(site, caller, lookUp, script.lookUp);
  const key = `quickstart-${randomUUID()}`;
  const booked = await showCall(site, caller, booking, script.booking, key);
  const again = await showCall(site, caller, booking, script.booking, key);
  const grouped = await showGroup(site);
  const effects = await getJson<{ key: string }[]>(`${site.effectsUrl}/effects`);
  const executions = effects.filter((effect) => effect.key === key).length;
  print(
    `\n${site.document.name}: ${drafts} of ${script.tasks.length} drafts whole, look-up ` +
      `${found ? 'answered' : 'FAILED'}, booking sent twice and executed ${executions} time(s)`,
  );
  caller.close();
  return drafts === script.tasks.length && found && booked && again && grouped && executions === 1;
}

function untilStopped(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
}

async function main(): Promise<number> {
  const serve = process.argv.includes('--serve');
  const example = process.argv.find((word) => word.startsWith('--example='))?.split('=')[1];
  const names = example === undefined ? ['brno', 'wholesale'] : [example];
  let fine = true;
  for (const name of serve ? names.slice(0, 1) : names) {
    print(`starting ${name}: a platform, engines, a booking service, entries and sidecars …`);
    const site = await launchSite({ example: name, ranks: RANKS });
    try {
      if (serve) {
        print(readyLine(site));
        await untilStopped();
      } else {
        fine = (await show(site)) && fine;
      }
    } finally {
      await site.stop();
    }
  }
  return fine ? 0 : 1;
}

process.exit(await main());
