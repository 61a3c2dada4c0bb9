/**
 * Signals to a running entry: one request ends it gracefully, further ones change nothing.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { sleep } from '@lapisbridge/kernel';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

const HOST = '127.0.0.1';
const DAEMON = fileURLToPath(new URL('../dist/bin.js', import.meta.url));
const TOKEN = 'operator-token';
const GRACE_MILLISECONDS = 4000;
/** Longer than the balancer's notice. */
const PAUSE_MILLISECONDS = 1800;
const BODY = '{}';
const REQUEST_HEAD = [
  'POST /v1/orders HTTP/1.1',
  'host: test',
  `authorization: Bearer ${TOKEN}`,
  `content-length: ${BODY.length}`,
  '\r\n',
].join('\r\n');

let child: ChildProcess;
let platform: Server;
let folder: string;
/** Whether the platform answers. */
let isPlatformUp: boolean;

beforeEach(() => {
  isPlatformUp = true;
  folder = mkdtempSync(join(tmpdir(), 'lapisbridge-signals-'));
});

afterEach(() => {
  child.kill('SIGKILL');
  platform.closeAllConnections();
  platform.close();
  rmSync(folder, { recursive: true });
});

async function listen(server: Server): Promise<number> {
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return (server.address() as AddressInfo).port;
}

async function freePort(): Promise<number> {
  const server = createServer();
  const port = await listen(server);
  server.close();
  return port;
}

interface Entry {
  readonly operatorPort: number;
  readonly exit: Promise<readonly [number | null, NodeJS.Signals | null]>;
  log(): string;
}

/** Starts an entry whose platform knows nothing, or does not answer. */
async function startEntry(): Promise<Entry> {
  platform = createServer((_incoming, response) => {
    if (isPlatformUp) response.writeHead(404, { 'content-type': 'application/json' }).end('[]');
  });
  const platformPort = await listen(platform);
  const ports = [await freePort(), await freePort(), await freePort()];
  const [callerPort, operatorPort = 0, peerPort] = ports;
  const file = join(folder, 'entry.json');
  writeFileSync(
    file,
    JSON.stringify({
      role: 'entry',
      environment: 'test',
      instanceId: 'entry-1',
      availabilityZone: 'a',
      platform: { url: `http://${HOST}:${platformPort}`, timeoutMilliseconds: 60_000 },
      listen: { host: HOST, callerPort, operatorPort, peerPort },
      operatorTokenHash: createHash('sha256').update(TOKEN).digest('hex'),
      graceMilliseconds: GRACE_MILLISECONDS,
    }),
  );
  child = spawn(process.execPath, [DAEMON, '--settings', file], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let log = '';
  child.stdout?.on('data', (chunk: Buffer) => {
    log += chunk.toString();
  });
  const exit = once(child, 'exit') as Promise<[number | null, NodeJS.Signals | null]>;
  return { operatorPort, exit, log: () => log };
}

async function startedEntry(): Promise<Entry> {
  const entry = await startEntry();
  while (!entry.log().includes('"started"')) await sleep(20);
  return entry;
}

interface PendingRequest {
  readonly socket: Socket;
  readonly reply: Promise<string>;
}

/** Sends a request without its body, so that it stays in progress. */
async function beginRequest({ operatorPort }: Entry): Promise<PendingRequest> {
  const socket = connect(operatorPort, HOST);
  let text = '';
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  socket.on('error', () => undefined);
  const reply = once(socket, 'close').then(() => text);
  await once(socket, 'connect');
  socket.write(REQUEST_HEAD);
  await sleep(100);
  return { socket, reply };
}

describe('a signal to a running entry', () => {
  it.each([
    ['SIGTERM', ['SIGTERM']],
    ['a second SIGTERM', ['SIGTERM', 'SIGTERM']],
    ['SIGHUP after SIGTERM', ['SIGTERM', 'SIGHUP']],
    ['SIGHUP', ['SIGHUP']],
    ['SIGTERM after SIGINT', ['SIGINT', 'SIGTERM']],
  ] as const)('%s lets it answer its request before it ends', async (_name, signals) => {
    // Guards against requests that are cut off by a further signal while the entry stops.
    const entry = await startedEntry();
    const request = await beginRequest(entry);
    for (const signal of signals) {
      child.kill(signal);
      await sleep(100);
    }
    await sleep(PAUSE_MILLISECONDS);
    request.socket.write(BODY);
    expect(await request.reply).toMatch(/^HTTP\/1\.1 4\d\d [^]*connection: close[^]*\}$/i);
    expect(await entry.exit).toEqual([0, null]);
    expect(entry.log().match(/"stopping"/g)).toHaveLength(1);
  });

  it('ends it within its grace time although a request is not complete', async () => {
    const entry = await startedEntry();
    const request = await beginRequest(entry);
    const startedAt = performance.now();
    child.kill('SIGTERM');
    expect(await entry.exit).toEqual([0, null]);
    expect(performance.now() - startedAt).toBeLessThan(GRACE_MILLISECONDS);
    expect(await request.reply).toMatch(/^HTTP\/1\.1 503 /);
  });

  it('ends it while it starts and its platform does not answer', async () => {
    // Guards against an entry that starts its parts after they were stopped, and stays.
    isPlatformUp = false;
    const entry = await startEntry();
    await once(platform, 'connection');
    const startedAt = performance.now();
    child.kill('SIGTERM');
    expect(await entry.exit).toEqual([0, null]);
    expect(performance.now() - startedAt).toBeLessThan(GRACE_MILLISECONDS);
  });
});
