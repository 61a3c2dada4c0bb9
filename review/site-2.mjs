/* eslint-disable no-restricted-syntax, no-await-in-loop, no-use-before-define, n/no-unsupported-features/node-builtins -- plain scripts that run without a build */
/**
 * What the scripts of this review share: loopback addresses, the programs with the commands of the
 * deploy file, settings like those of a small deployment, and the record of a run.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = fileURLToPath(new URL('..', import.meta.url));

/** Whether the run has its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** A rule was broken, a rule held, or the case could not run. */
export const Result = { Held: 0, Broken: 1, NotRun: 2 };

const CALLERS_PORT = 22_101;
const READINESS_PORT = 22_102;
const PEER_PORT = 22_103;
const METRICS_PORT = 22_104;
export const SERVER_PORT = 22_105;
const STORE_PORT = 22_106;

const network = 10 + (process.pid % 200);
/** Third number of a loopback address, by what stands there. */
const Net = { Entry: 1, Machine: 2, Store: 3 };

export const entryHost = `127.${network}.${Net.Entry}.1`;
export const storeHost = `127.${network}.${Net.Store}.1`;

export function machineHost(index) {
  return `127.${network}.${Net.Machine}.${index + 1}`;
}

export const callersPort = CALLERS_PORT;

const startedAt = performance.now();
const lines = [];

/** Adds a line to the record, with the milliseconds since the start. */
export function note(text) {
  lines.push(`${(performance.now() - startedAt).toFixed(0).padStart(7)} ${text}`);
}

export function sleep(milliseconds) {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

const servers = new Set();
const children = new Set();
const folder = mkdtempSync(join(tmpdir(), 'lapisbridge-review-'));

export async function listen(server, host, port) {
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  servers.add(server);
}

export function listenStore(store) {
  return listen(store.server, storeHost, STORE_PORT);
}

/** Closes a server and all of its connections at once, as the end of its process does. */
export function endServer(server) {
  servers.delete(server);
  server.closeAllConnections?.();
  server.close();
}

/** Words of the command with which the deploy file runs a program. */
function commandOf(program) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const match = new RegExp(`^run = "(node .*target/${program}\\.js)"$`, 'm').exec(text);
  if (match === null) throw new Error(`the deploy file does not run ${program}`);
  return match[1].split(' ');
}

const sharedSettings = {
  peerPort: PEER_PORT,
  metricsPort: METRICS_PORT,
  seedAddresses: `${entryHost}:${PEER_PORT}`,
  storeAddress: `${storeHost}:${STORE_PORT}`,
  graceSeconds: 8,
  configurationBoundMilliseconds: 2000,
  drainingBoundMilliseconds: 2000,
  retryRatio: 0.2,
  retrySlack: 90,
  retryWindowSeconds: 10,
};

export const entrySettings = {
  ...sharedSettings,
  instanceId: 'edge-a-1',
  role: 'entry',
  host: entryHost,
  availabilityZone: 'zone-a',
  callerAddress: `${entryHost}:${CALLERS_PORT}`,
  readinessAddress: `${entryHost}:${READINESS_PORT}`,
  memoryMegabytes: 350,
  maximumDescriptors: 4200,
};

export function sidecarSettings(index, service, availabilityZone = 'zone-a') {
  const host = machineHost(index);
  return {
    ...sharedSettings,
    instanceId: `side-${index + 1}`,
    role: 'sidecar',
    host,
    availabilityZone,
    service,
    backendServerAddress: `${host}:${SERVER_PORT}`,
    memoryMegabytes: 218,
    maximumDescriptors: 1494,
  };
}

function startChild(name, words, env, onLine) {
  const child = spawn(process.execPath, words, {
    cwd: root,
    env: { PATH: process.env.PATH, HOME: process.env.HOME, ...env },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  children.add(child);
  let rest = '';
  child.stdout.on('data', (chunk) => {
    rest += chunk.toString();
    const parts = rest.split('\n');
    rest = parts.pop();
    for (const line of parts) onLine(line);
  });
  child.on('exit', (code, signal) => {
    children.delete(child);
    note(`${name} ended: ${signal ?? code}`);
  });
  note(`${name} started`);
  return child;
}

/** Starts a program; `onLine` receives each of its log lines. */
export function startProgram(program, settings, onLine = () => undefined) {
  const file = join(folder, `${settings.instanceId}.json`);
  writeFileSync(file, JSON.stringify(settings));
  const [, ...words] = commandOf(program);
  return startChild(settings.instanceId, words, { LAPISBRIDGE_SETTINGS: file }, onLine);
}

/** Starts a stand-in as a process of its own; `onLine` receives each line of its output. */
export function startNode(file, words, onLine = () => undefined) {
  const path = fileURLToPath(file);
  return startChild(words.join(' '), [path, ...words.map(String)], {}, onLine);
}

/** Whether the entry accepts callers and has a configuration. */
export async function awaitReady(limitMilliseconds = 10_000) {
  const until = performance.now() + limitMilliseconds;
  while (performance.now() < until) {
    const response = await fetch(`http://${entryHost}:${READINESS_PORT}/readyz`).catch(
      () => undefined,
    );
    if (response?.status === 200) return true;
    await sleep(100);
  }
  return false;
}

/** Resolves whether the condition became true in time. */
export async function awaitCondition(condition, limitMilliseconds) {
  const until = performance.now() + limitMilliseconds;
  while (performance.now() < until) {
    if (condition()) return true;
    await sleep(20);
  }
  return false;
}

function stopAll() {
  for (const child of children) child.kill('SIGKILL');
  for (const server of servers) endServer(server);
  rmSync(folder, { recursive: true, force: true });
}

/** Runs a case, writes its record beside it and sets the exit code. */
export async function runCase(caseUrl, run) {
  let result = { code: Result.NotRun, text: 'the case did not end in time' };
  const limit = setTimeout(() => {
    finish();
    process.kill(process.pid, 'SIGKILL');
  }, 110_000);

  function finish() {
    note(`result ${result.code}: ${result.text}`);
    writeFileSync(fileURLToPath(new URL('record.txt', caseUrl)), `${lines.join('\n')}\n`);
    stopAll();
  }

  process.once('SIGTERM', () => {
    finish();
    process.kill(process.pid, 'SIGKILL');
  });
  try {
    result = await run();
  } catch (thrown) {
    result = { code: Result.NotRun, text: `failed: ${thrown.stack}` };
  }
  clearTimeout(limit);
  process.exitCode = result.code;
  finish();
  process.stdout.write(`${result.text}\n`);
}

export { createServer };
