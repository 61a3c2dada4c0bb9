/* eslint-disable no-restricted-syntax, no-await-in-loop, no-promise-executor-return, camelcase, no-use-before-define */
/**
 * Stand-ins for the users' platform, and the start and end of the project's own programs, for the
 * scripts of this review. All addresses are loopback addresses and every program is its own
 * process. Nothing here needs a build of its own.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');
/** Whether the disruption takes place; `TROUBLE=0` is the same run without it. */
export const TROUBLE = process.env.TROUBLE !== '0';

export function sleep(milliseconds) {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** Collects the lines of `record.txt`, which is written at the end. */
export function createRecord(folder) {
  const startedAt = performance.now();
  const lines = [];
  return {
    add(line) {
      lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}`);
    },
    write() {
      writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    },
  };
}

export function listen(server, host, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server.address().port));
  });
}

/** Ports that are free at this host now. */
export async function freePorts(host, count) {
  const servers = Array.from({ length: count }, () => createTcpServer());
  const ports = [];
  for (const server of servers) ports.push(await listen(server, host));
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

async function readBody(incoming) {
  const chunks = [];
  for await (const chunk of incoming) chunks.push(chunk);
  return Buffer.concat(chunks);
}

function base64(value) {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}

/**
 * The platform's metadata store: `rows-get`, `rows-feed` and `rows-tx` as PROTOCOL.md describes
 * them. `put` writes as the operator and the runners do.
 */
export async function startStore(host) {
  const rows = new Map();
  const waiting = new Set();
  let version = 0;

  const keyOf = ({ table, part, key }) => JSON.stringify([table, part ?? '', key]);
  const nowMilliseconds = () => Math.floor(performance.now());

  function set(row) {
    rows.set(keyOf(row), { ...row, part: row.part ?? '', row_version: version });
  }

  function wakeAll() {
    for (const wake of [...waiting]) wake();
  }

  function encode({ table, part, key, value, row_version }) {
    return value === undefined
      ? { table, part, key, row_version, deleted: true }
      : { table, part, key, row_version, value };
  }

  function answer(response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  }

  function listRows(query, response) {
    const found = [...rows.values()].filter(
      ({ table, part, key, value }) =>
        value !== undefined &&
        table === query.get('table') &&
        part === (query.get('part') ?? '') &&
        key >= (query.get('range_start') ?? ''),
    );
    found.sort((left, right) => Buffer.compare(Buffer.from(left.key), Buffer.from(right.key)));
    answer(response, 200, {
      rows: found.map(encode),
      has_more: false,
      row_version: version,
      now_ms: nowMilliseconds(),
    });
  }

  function feed(query, response) {
    const table = query.get('table');
    const since = Number(query.get('since_revision'));
    let timer;
    const changed = () =>
      [...rows.values()]
        .filter((row) => row.table === table && row.row_version > since)
        .sort((left, right) => left.row_version - right.row_version);
    const finish = () => {
      waiting.delete(wake);
      clearTimeout(timer);
      answer(response, 200, {
        rows: changed().map(encode),
        row_version: version,
        now_ms: nowMilliseconds(),
      });
    };
    const wake = () => {
      if (changed().length > 0) finish();
    };
    if (changed().length > 0) {
      finish();
      return;
    }
    timer = setTimeout(finish, Math.min(30_000, Number(query.get('wait_ms'))));
    waiting.add(wake);
    response.on('close', () => {
      waiting.delete(wake);
      clearTimeout(timer);
    });
  }

  function transact(body, response) {
    const conflicts = (body.expected_revision ?? []).filter((condition) => {
      const row = rows.get(keyOf(condition));
      const current = row?.value === undefined ? 0 : row.row_version;
      return current !== condition.row_version;
    });
    if (conflicts.length > 0) {
      const current = conflicts.flatMap((one) => rows.get(keyOf(one)) ?? []).map(encode);
      answer(response, 412, { rows: current, row_version: version, now_ms: nowMilliseconds() });
      return;
    }
    version += 1;
    for (const write of body.write ?? []) set(write);
    for (const removed of body.remove ?? []) set({ ...removed, value: undefined });
    wakeAll();
    answer(response, 200, { row_version: version, now_ms: nowMilliseconds() });
  }

  const server = createServer((incoming, response) => {
    const url = new URL(incoming.url, 'http://store');
    readBody(incoming).then(
      (body) => {
        if (url.pathname === '/rows-get') listRows(url.searchParams, response);
        else if (url.pathname === '/rows-feed') feed(url.searchParams, response);
        else if (url.pathname === '/rows-tx') transact(JSON.parse(body.toString()), response);
        else answer(response, 404, {});
      },
      () => response.destroy(),
    );
  });
  const port = await listen(server, host);
  return {
    address: `${host}:${port}`,
    put(table, key, value) {
      version += 1;
      set({ table, key, value: value === undefined ? undefined : base64(value) });
      wakeAll();
    },
    read(table, part, key) {
      const row = rows.get(keyOf({ table, part, key }));
      return row?.value === undefined
        ? undefined
        : JSON.parse(Buffer.from(row.value, 'base64').toString());
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** A configuration with one tenant, whose key is `key-one`. */
export function createConfiguration(routes, services) {
  return {
    version: 1,
    routes: routes.map((route) => ({ hostname: 'service.example', ...route })),
    services,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'tenant-one', api_keys: ['key-one'] }],
  };
}

/** The fields of `deploy/settings.template.json`, as the platform fills them in. */
export function createSettings(fields) {
  return {
    availabilityZone: 'zone-a',
    service: '',
    seedAddresses: '',
    graceSeconds: 8,
    configurationBoundMilliseconds: 2000,
    drainingBoundMilliseconds: 2000,
    retryRatio: 0.2,
    retrySlack: 90,
    retryWindowSeconds: 10,
    ...fields,
  };
}

const folders = [];
const children = new Set();

/** Commands of `deploy/system.toml`. */
const COMMANDS = {
  entry: ['--max-old-space-size=96', '--max-semi-space-size=2', 'target/entry.js'],
  sidecar: ['--max-old-space-size=64', '--max-semi-space-size=2', 'target/sidecar.js'],
};

function startProcess(command, environment) {
  const child = spawn(process.execPath, command, {
    cwd: ROOT,
    env: { PATH: process.env.PATH, HOME: process.env.HOME, ...environment },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  children.add(child);
  const lines = [];
  let rest = '';
  child.stdout.on('data', (chunk) => {
    const parts = (rest + chunk.toString()).split('\n');
    rest = parts.pop();
    for (const part of parts) {
      try {
        lines.push({ at: performance.now(), ...JSON.parse(part) });
      } catch {
        lines.push({ at: performance.now(), event: part });
      }
    }
  });
  const exited = new Promise((resolve) => {
    child.once('exit', (code, signal) => {
      children.delete(child);
      resolve({ code, signal });
    });
  });
  return { child, lines, exited };
}

/** Starts a stand-in of this review as its own process. */
export function startStandIn(file, ...words) {
  return startProcess([file, ...words], {});
}

/** Starts one of the project's programs as its own process. */
export function startProgram(role, settings) {
  const folder = mkdtempSync(join(tmpdir(), 'lapisbridge-review-'));
  folders.push(folder);
  const file = join(folder, 'settings.json');
  writeFileSync(file, JSON.stringify({ role, ...settings }));
  return startProcess(COMMANDS[role], { LAPISBRIDGE_SETTINGS: file });
}

/** Ends what was started, and removes the temporary folders. */
export function cleanUp() {
  for (const child of children) {
    child.kill('SIGCONT');
    child.kill('SIGKILL');
  }
  for (const folder of folders) rmSync(folder, { recursive: true, force: true });
}

/** Waits until the condition holds; false when it does not in time. */
export async function waitUntil(condition, milliseconds) {
  const until = performance.now() + milliseconds;
  while (performance.now() < until) {
    if (await condition()) return true;
    await sleep(50);
  }
  return false;
}

function get(url) {
  return new Promise((resolve, reject) => {
    const outgoing = request(url, { timeout: 1000, agent: false }, (incoming) => {
      incoming.resume();
      incoming.on('close', () => resolve(incoming.statusCode));
    });
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', reject);
    outgoing.end();
  });
}

/** Whether `GET /readyz` is answered with 200, as the platform asks once a second. */
export async function isReady(address) {
  try {
    return (await get(`http://${address}/readyz`)) === 200;
  } catch {
    return false;
  }
}

/**
 * Runs a case: `run` returns whether the rule held. Exit code 0 if so, 1 if it was broken, 2 if the
 * case could not run.
 */
export async function runCase(folder, run) {
  const record = createRecord(folder);
  record.add(`trouble: ${TROUBLE ? 'yes' : 'no'}`);
  const limit = setTimeout(() => {
    record.add('the case took too long');
    record.write();
    cleanUp();
    process.exitCode = 2;
    process.kill(process.pid, 'SIGKILL');
  }, 115_000);
  try {
    const held = await run(record);
    record.add(held ? 'the rule held' : 'the rule was broken');
    process.exitCode = held ? 0 : 1;
  } catch (thrown) {
    record.add(`the case could not run: ${thrown.stack}`);
    process.exitCode = 2;
  }
  clearTimeout(limit);
  record.write();
  cleanUp();
}
