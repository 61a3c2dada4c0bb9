/**
 * What callers and operators get for bad input, and what a caller's leaving costs: each error
 * has its numbered code, and nothing is sent on before the request is known to be good.
 */
import { spawnSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import { readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { RESULT_CODES, ResultCode } from '@lapisbridge/errors';
import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { awaitEvent } from '../load/await-event.js';
import { engineCounts } from '../load/operator.js';
import { createCaller } from '../site/caller.js';
import { postJson } from '../site/http-json.js';
import { accountKey, launchSite, OPERATOR_TOKEN } from '../site/site.js';
import type { Site } from '../site/site.js';

const DRAFT = { model: 'inspection-draft', messages: [{ role: 'user', content: 'x' }] };
const CLI = fileURLToPath(new URL('../../../cli/bin/lapisbridge.js', import.meta.url));
const DAEMON = fileURLToPath(new URL('../../../daemon/bin/lapisbridged.js', import.meta.url));
const FOREIGN_KEY = 'foreign-key';

let site: Site;

beforeAll(async () => {
  site = await launchSite({
    example: 'brno',
    engine: { warmUpTokens: 0, stepMilliseconds: 20 },
    adjust: (document) => ({
      ...document,
      limits: { ...document.limits, orphanMilliseconds: 300 },
    }),
  });
});
afterAll(() => site.stop());

interface Reply {
  readonly status: number;
  readonly code: number;
  readonly ran: string | undefined;
}

async function send(
  path: string,
  body: string,
  headers: Record<string, string> = {},
  method: 'GET' | 'POST' = 'POST',
): Promise<Reply> {
  const reply = await request(`${site.entries[0]?.url}${path}`, {
    method,
    headers: {
      authorization: `Bearer ${accountKey('head-office')}`,
      'content-type': 'application/json',
      ...headers,
    },
    ...(method === 'GET' ? {} : { body }),
  });
  const text = await reply.body.text();
  const code = Number(reply.headers['lapisbridge-result']);
  const isJson = String(reply.headers['content-type']).includes('json');
  const { ran } = (isJson ? JSON.parse(text) : {}) as { ran?: string };
  return { status: reply.statusCode, code, ran };
}

const DRAFTS = '/v1/chat/completions';
const BOOKINGS = '/services/inspection/bookings';
const draft = JSON.stringify(DRAFT);

describe('bad input', () => {
  const cases: [string, ResultCode, () => Promise<Reply>][] = [
    ['a body that is not JSON', ResultCode.MalformedJson, () => send(DRAFTS, '{')],
    ['a draft without messages', ResultCode.BadRequest, () => send(DRAFTS, '{"model":"x"}')],
    [
      'an oversize body',
      ResultCode.BodyTooLarge,
      () => send(DRAFTS, JSON.stringify({ ...DRAFT, pad: 'x'.repeat(2_000_000) })),
    ],
    [
      'an unknown account',
      ResultCode.UnknownAccount,
      () => send(DRAFTS, draft, { authorization: 'Bearer nobody' }),
    ],
    [
      'an unknown model',
      ResultCode.UnknownModel,
      () => send(DRAFTS, JSON.stringify({ ...DRAFT, model: 'nobody' })),
    ],
    ['an unknown service', ResultCode.UnknownOperation, () => send('/services/nobody/x', '{}')],
    ['an unknown path', ResultCode.UnknownOperation, () => send('/v2/nothing', '{}')],
    ['a wrong method', ResultCode.MethodNotAllowed, () => send(DRAFTS, '', {}, 'GET')],
    ['a booking without a key', ResultCode.MissingIdempotencyKey, () => send(BOOKINGS, '{}')],
    [
      'an unlisted operation without a key',
      ResultCode.MissingIdempotencyKey,
      () => send('/services/inspection/unlisted', '{}'),
    ],
    [
      'a timeout that is no number',
      ResultCode.InvalidTimeout,
      () => send(DRAFTS, draft, { 'lapisbridge-timeout-ms': 'soon' }),
    ],
    [
      'an event id that is not ours',
      ResultCode.BadRequest,
      () => send(DRAFTS, draft, { 'last-event-id': 'rubbish' }),
    ],
  ];

  it.each(cases)('of %s gets its code', async (_what, code, ask) => {
    expect(await ask()).toEqual({ status: RESULT_CODES[code].httpStatus, code, ran: 'no' });
  });

  it('of an account of another environment gets its code', async () => {
    const hash = createHash('sha256').update(FOREIGN_KEY).digest('hex');
    const text = JSON.stringify({ accounts: [{ keyHashes: [hash] }] });
    const value = { changeId: 'x', author: 'x', acceptedAt: '', text };
    await postJson(`${site.platformUrl}/table/transactions`, {
      transactions: [{ puts: [{ key: 'documents/other', value }] }],
    });
    // The entry that was asked about an unknown key before remembers its list for a while.
    const reply = await request(`${site.entries[1]?.url}${DRAFTS}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${FOREIGN_KEY}` },
      body: draft,
    });
    expect(reply.statusCode).toBe(RESULT_CODES[ResultCode.WrongEnvironment].httpStatus);
    await reply.body.dump();
  });

  it('leaves the engines untouched', async () => {
    for (const { url } of site.engines) expect((await engineCounts(url)).started).toBe(0);
  });
});

describe('a caller that leaves', () => {
  it('frees the engine, at once without a stream and after a while with one', async () => {
    // Nobody will read the answer. Going on would take a slot from callers who wait.
    const caller = createCaller();
    for (const stream of [false, true]) {
      const controller = new AbortController();
      const before = await cancelled();
      const asked = request(`${site.entries[0]?.url}${DRAFTS}`, {
        method: 'POST',
        signal: controller.signal,
        headers: { authorization: `Bearer ${accountKey('head-office')}` },
        body: JSON.stringify({ ...DRAFT, max_tokens: 1500, stream }),
      }).then(
        ({ body }) => body.dump(),
        () => undefined,
      );
      await awaitEvent('the engine at work', async () =>
        (await sumOfCounts('running')) > 0 ? true : undefined,
      );
      controller.abort();
      await asked.catch(() => undefined);
      await awaitEvent('the engine freed', async () =>
        (await cancelled()) > before ? true : undefined,
      );
    }
    caller.close();
  });
});

async function sumOfCounts(name: 'running' | 'cancelled'): Promise<number> {
  const counts = await Promise.all(site.engines.map(({ url }) => engineCounts(url)));
  return counts.reduce((sum, count) => sum + count[name], 0);
}

function cancelled(): Promise<number> {
  return sumOfCounts('cancelled');
}

describe('the command line', () => {
  function run(script: string, ...parameters: string[]): { status: number; output: string } {
    const env = {
      ...process.env,
      LAPISBRIDGE_OPERATOR: site.entries[0]?.operatorUrl,
      LAPISBRIDGE_TOKEN: OPERATOR_TOKEN,
    };
    const done = spawnSync(process.execPath, [script, ...parameters], { env, encoding: 'utf8' });
    return { status: done.status ?? -1, output: done.stdout + done.stderr };
  }

  it('shows status, and explains a request through any entry', async () => {
    expect(run(CLI, 'status')).toMatchObject({ status: 0 });
    const { instances } = JSON.parse(run(CLI, 'status', '--json').output) as {
      instances: unknown[];
    };
    expect(instances).toHaveLength(9);
    const caller = createCaller();
    const reply = await caller.draft(site.entries[2]?.url ?? '', {
      account: 'head-office',
      model: DRAFT.model,
      messages: DRAFT.messages,
    });
    caller.close();
    const explained = run(CLI, 'explain', reply.requestId);
    expect(explained.output).toContain(site.entries[2]?.id);
    expect(explained.output).toContain('routing');
    expect(run(CLI, 'explain', 'nothing').status).toBe(
      RESULT_CODES[ResultCode.UnknownRequest].exitStatus,
    );
  });

  it('applies a document, refuses a stale base, and drains and restores a zone', () => {
    const file = join(site.folder, 'next.json');
    writeFileSync(file, site.documentText);
    expect(run(CLI, 'document', 'check', file)).toMatchObject({ status: 0 });
    expect(run(CLI, 'document', 'apply', file, '--base', '1', '--wait')).toMatchObject({
      status: 0,
    });
    const stale = run(CLI, 'document', 'apply', file, '--base', '1');
    expect(stale.status).toBe(RESULT_CODES[ResultCode.VersionConflict].exitStatus);
    expect(run(CLI, 'document', 'history').output.split('\n')).toHaveLength(4);
    expect(run(CLI, 'zone', 'drain', 'brno-c')).toMatchObject({ status: 0 });
    expect(run(CLI, 'status').output).toContain('drained');
    expect(run(CLI, 'zone', 'restore', 'brno-c')).toMatchObject({ status: 0 });
    const unknown = run(CLI, 'zone', 'drain', 'nowhere');
    expect(unknown.status).toBe(RESULT_CODES[ResultCode.UnknownTarget].exitStatus);
  });

  it('says what is wrong with a document and with settings, with paths', () => {
    const file = join(site.folder, 'bad.json');
    writeFileSync(file, '{"name":"x","acounts":[]}');
    const document = run(CLI, 'document', 'check', file);
    expect(document.status).toBe(RESULT_CODES[ResultCode.DocumentInvalid].exitStatus);
    expect(document.output).toContain('$.acounts');
    expect(document.output).toContain('did you mean "accounts"');
    const settings = run(DAEMON, '--settings', file, '--check');
    expect(settings.status).toBe(RESULT_CODES[ResultCode.SettingsInvalid].exitStatus);
    const good = join(site.folder, `${site.entries[0]?.id}.json`);
    expect(run(DAEMON, '--settings', good, '--check')).toMatchObject({ status: 0 });
  });
});

describe('the logs', () => {
  it('hold decisions, and neither keys nor prompts nor answers', async () => {
    // Logs are read by more people than may read a customer's defect reports or hold its keys.
    const prompt = 'prompt-that-must-not-be-logged';
    const caller = createCaller();
    const reply = await caller.draft(site.entries[0]?.url ?? '', {
      account: 'head-office',
      model: DRAFT.model,
      messages: [{ role: 'user', content: prompt }],
    });
    caller.close();
    const folder = join(site.folder, 'logs');
    const logs = await awaitEvent('the decision in the logs', () => {
      const text = readdirSync(folder)
        .map((file) => readFileSync(join(folder, file), 'utf8'))
        .join('');
      return text.includes(reply.requestId) ? text : undefined;
    });
    expect(logs).toContain('"event":"decision"');
    expect(logs).not.toContain(prompt);
    expect(logs).not.toContain(accountKey('head-office'));
    expect(logs).not.toContain(OPERATOR_TOKEN);
    expect(logs).not.toContain(reply.text.trim());
  });
});
