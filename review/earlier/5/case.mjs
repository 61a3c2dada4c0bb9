/* eslint-disable no-restricted-syntax, no-await-in-loop, import-x/extensions */
/**
 * Clients send requests with the longest bodies that the config allows, and the runners read them
 * slowly. The platform ends a process that exceeds its memory. No request that the entry has read
 * and passed on may end without an answer because of that.
 */
import { readFileSync } from 'node:fs';
import { Agent, createServer, request } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import {
  createConfiguration,
  createSettings,
  freePorts,
  isReady,
  listen,
  runCase,
  sleep,
  startProgram,
  startStore,
  TROUBLE,
  waitUntil,
} from '../../site.mjs';

const HOST = '127.0.0.1';
const RUNNERS = 3;
/** About half of the site's 92 clients. Their bodies together have 192 MiB. */
const CLIENTS = 48;
const CLIENT_PAUSE_MILLISECONDS = 40;
const BODY_BYTES = 4 * 1024 * 1024;
/** `memory_mb` of the site's `edge` machines, taken as MiB in favour of the program. */
const MEMORY_MEBIBYTES = 350;
const MEMORY_CHECK_MILLISECONDS = 20;
/** A slow runner reads 1 MB a second from each channel: 4 s for the whole body. */
const READ_BYTES = 64 * 1024;
const READ_PAUSE_MILLISECONDS = 64;
const DEADLINE_MILLISECONDS = 10_000;

/** A sound runner that answers each request once it has read all of it. */
async function startRunner(instance, record) {
  const passedOn = new Set();
  const server = createServer((incoming, response) => {
    const id = incoming.headers['attempt-id'];
    if (incoming.headers['expect-instance'] !== instance) {
      response.writeHead(421, { 'attempt-id': id, 'not-executed': '1', 'content-length': 0 });
      response.end();
      return;
    }
    passedOn.add(id);
    let received = 0;
    incoming.on('error', () => undefined);
    incoming.on('end', () => {
      record.add(`${instance} has read ${received} bytes of ${id} and runs it`);
      response.writeHead(200, {
        'attempt-id': id,
        'server-signature': `signed.${id}`,
        'content-length': 4,
      });
      response.end('done');
    });
    if (!TROUBLE) {
      incoming.on('data', (chunk) => {
        received += chunk.length;
      });
      return;
    }
    const readOn = () => {
      const chunk = incoming.read(READ_BYTES) ?? incoming.read();
      received += chunk?.length ?? 0;
      if (!incoming.destroyed) setTimeout(readOn, READ_PAUSE_MILLISECONDS);
    };
    incoming.once('readable', readOn);
  });
  server.keepAliveTimeout = 10_000;
  return { instance, server, port: await listen(server, HOST), passedOn };
}

/** Sends one request on a kept channel. */
function call({ port, path, method, body, id, agent, record }) {
  return new Promise((resolve) => {
    const finish = (outcome) => {
      record.add(`client ${id}: ${outcome}`);
      resolve(outcome);
    };
    const outgoing = request({
      host: HOST,
      port,
      path,
      method,
      agent,
      headers: {
        host: 'service.example',
        'attempt-id': id,
        'deadline-ms': String(DEADLINE_MILLISECONDS),
        authorization: 'Bearer key-one',
        'content-length': body.length,
      },
    });
    outgoing.on('error', (error) => finish(`channel closed without an answer (${error.code})`));
    outgoing.on('response', (incoming) => {
      incoming.resume();
      incoming.on('close', () => finish(`status ${incoming.statusCode}`));
    });
    outgoing.end(body);
  });
}

/** The platform's limit on memory; returns the peak when asked. */
function limitMemory({ child }, record) {
  let peak = 0;
  let isKilled = false;
  const timer = setInterval(() => {
    let text;
    try {
      text = readFileSync(`/proc/${child.pid}/status`, 'utf8');
    } catch {
      return;
    }
    const mebibytes = Number(/VmRSS:\s+(\d+) kB/.exec(text)?.[1] ?? 0) / 1024;
    peak = Math.max(peak, mebibytes);
    if (mebibytes <= MEMORY_MEBIBYTES || isKilled) return;
    isKilled = true;
    child.kill('SIGKILL');
    record.add(`the entry has exceeded its memory (${Math.round(mebibytes)} MiB) and is killed`);
  }, MEMORY_CHECK_MILLISECONDS);
  return () => {
    clearInterval(timer);
    return Math.round(peak);
  };
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (record) => {
  const store = await startStore(HOST);
  const runners = [];
  for (let number = 1; number <= RUNNERS; number += 1) {
    const runner = await startRunner(`i-${number}`, record);
    runners.push(runner);
    store.put('servers', runner.instance, {
      service: 'app',
      address: `${HOST}:${runner.port}`,
      zone: 'zone-a',
      version: 1,
      batch_slots: 24,
      state: 'ready',
      warmup_left_ms: 0,
      sequence: 1,
    });
  }
  const configuration = createConfiguration(
    [
      {
        name: 'order',
        prefix: '/order/',
        route_type: 'non_idempotent',
        timeout_ms: 12_000,
        target_latency_ms: 5000,
        priority_class: 1,
        max_attempts: 1,
        service: 'app',
      },
    ],
    [{ name: 'app', max_connections: 48, health_check_path: '/healthz' }],
  );
  configuration.limits.max_body_bytes = BODY_BYTES;
  store.put('op', 'config', configuration);
  const [front, readiness, peer, metrics] = await freePorts(HOST, 4);
  const entry = startProgram(
    'entry',
    createSettings({
      instanceId: 'edge-zone-a-1',
      host: HOST,
      callerAddress: `${HOST}:${front}`,
      readinessAddress: `${HOST}:${readiness}`,
      peerPort: peer,
      metricsPort: metrics,
      storeAddress: store.address,
    }),
  );
  const wasReady = await waitUntil(() => isReady(`${HOST}:${readiness}`), 15_000);
  if (!wasReady) throw new Error('the entry was not ready in time');
  // In touch: longer than `contact_ms` after the start.
  await sleep(4000);

  const agent = new Agent({ keepAlive: true });
  const base = { port: front, path: '/order/form', method: 'POST', agent, record };
  // Each client has a kept channel before it sends its long request.
  const small = Buffer.from('small');
  await Promise.all(
    Array.from({ length: CLIENTS }, (_, index) =>
      call({ ...base, body: small, id: `small-${index + 1}` }),
    ),
  );
  const readPeak = limitMemory(entry, record);
  const body = Buffer.alloc(BODY_BYTES, 'z');
  const calls = [];
  for (let number = 1; number <= CLIENTS; number += 1) {
    calls.push(call({ ...base, body, id: `long-${number}` }));
    await sleep(CLIENT_PAUSE_MILLISECONDS);
  }
  const outcomes = await Promise.all(calls);
  record.add(`the entry held ${readPeak()} MiB at most`);
  const passedOn = new Set(runners.flatMap((runner) => [...runner.passedOn]));
  const lost = outcomes.filter(
    (outcome, index) => !outcome.startsWith('status') && passedOn.has(`long-${index + 1}`),
  ).length;
  record.add(`${CLIENTS} long requests: ${lost} were passed on and ended without an answer`);
  agent.destroy();
  for (const { server } of runners) {
    server.closeAllConnections();
    server.close();
  }
  store.close();
  return lost <= 3;
});
