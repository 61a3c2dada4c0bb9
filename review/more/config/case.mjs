/* eslint-disable no-restricted-syntax, no-await-in-loop, import-x/extensions */
/**
 * The store turns the entry of a small deployment away for some seconds, by giving it no response,
 * while it serves the operator, who takes an API key away. From `contact_ms` after the store answers
 * the entry again, the entry is in touch, and no request with that key that a client sends from then
 * on may run. That happens several times, each time with another key.
 */
import { createServer, request } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
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
const ROUNDS = 5;
/** The store answers again when the entry has just asked in vain once more, or at the latest. */
const SHORTEST_MILLISECONDS = 4000;
const LONGEST_MILLISECONDS = 8000;
const RECENT_MILLISECONDS = 150;
/** The key is taken away so long after the store began to turn the entry away. */
const CHANGE_MILLISECONDS = 500;
const CONTACT_MILLISECONDS = 3000;
const APPLY_MILLISECONDS = 2000;
/** For the way from the client to the entry and from there to the runner. */
const SLACK_MILLISECONDS = 100;
const REQUEST_INTERVAL_MILLISECONDS = 25;

const now = () => performance.now();

/** Forwards channels to the store; while it turns away, what is asked gets no response, ever. */
async function startFront(storeAddress) {
  const [host, port] = storeAddress.split(':');
  const channels = new Set();
  let isTurningAway = false;
  let vainCallAt = -Infinity;
  const server = createTcpServer((near) => {
    const channel = { near, isDead: isTurningAway };
    channels.add(channel);
    near.on('error', () => undefined);
    near.on('close', () => channels.delete(channel));
    if (channel.isDead) {
      near.on('data', (chunk) => {
        if (chunk.includes('/rows-feed?table=op&')) vainCallAt = now();
      });
      return;
    }
    const far = connect(Number(port), host);
    near.on('data', (chunk) => channel.isDead || far.write(chunk));
    far.on('data', (chunk) => channel.isDead || near.write(chunk));
    near.on('close', () => far.destroy());
    far.on('error', () => undefined);
    far.on('close', () => channel.isDead || near.destroy());
  });
  return {
    address: `${HOST}:${await listen(server, HOST)}`,
    turnAway() {
      isTurningAway = true;
      for (const channel of channels) channel.isDead = true;
    },
    serve() {
      isTurningAway = false;
    },
    /** Milliseconds since the entry asked in vain for the operators' table. */
    sinceVainCall: () => now() - vainCallAt,
    close() {
      for (const { near } of channels) near.destroy();
      server.close();
    },
  };
}

/** A sound runner. */
async function startRunner(instance, runs) {
  const server = createServer((incoming, response) => {
    incoming.resume();
    incoming.on('end', () => {
      const id = incoming.headers['attempt-id'];
      if (incoming.headers['expect-instance'] !== instance) {
        response.writeHead(421, { 'attempt-id': id, 'not-executed': '1', 'content-length': 0 });
        response.end();
        return;
      }
      runs.add(id);
      response.writeHead(200, {
        'attempt-id': id,
        'server-signature': `signed.${id}`,
        'content-length': 2,
      });
      response.end('ok');
    });
  });
  return { server, address: `${HOST}:${await listen(server, HOST)}` };
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (record) => {
  const runs = new Set();
  const sent = [];
  const store = await startStore(HOST);
  const front = await startFront(store.address);
  const keys = new Set(['key-one']);
  for (let round = 1; round <= ROUNDS; round += 1) keys.add(`key-round-${round}`);
  let version = 0;
  const writeConfiguration = () => {
    version += 1;
    const configuration = createConfiguration(
      [
        {
          name: 'booking',
          prefix: '/booking/',
          route_type: 'non_idempotent',
          timeout_ms: 3000,
          target_latency_ms: 400,
          target_gap_ms: 0,
          priority_class: 1,
          max_attempts: 1,
          service: 'app',
        },
      ],
      [{ name: 'app', max_connections: 100, health_check_path: '/healthz' }],
    );
    store.put('op', 'config', {
      ...configuration,
      version,
      tenants: [{ name: 'tenant-one', api_keys: [...keys] }],
    });
  };
  writeConfiguration();
  const runner = await startRunner('i-runner', runs);
  let sequence = 0;
  const write = () => {
    sequence += 1;
    store.put('servers', 'i-runner', {
      service: 'app',
      address: runner.address,
      zone: 'zone-a',
      version: 1,
      batch_slots: 8,
      state: 'ready',
      warmup_left_ms: 0,
      sequence,
    });
  };
  write();
  const heartbeats = setInterval(write, 1200);
  const [callers, readiness, peer, metrics] = await freePorts(HOST, 4);
  startProgram(
    'entry',
    createSettings({
      instanceId: 'edge-zone-a-1',
      host: HOST,
      callerAddress: `${HOST}:${callers}`,
      readinessAddress: `${HOST}:${readiness}`,
      peerPort: peer,
      metricsPort: metrics,
      storeAddress: front.address,
    }),
  );
  const wasReady = await waitUntil(() => isReady(`${HOST}:${readiness}`), 15_000);
  if (!wasReady) throw new Error('the entry was not ready in time');
  await sleep(CONTACT_MILLISECONDS);

  let count = 0;
  let currentKey = 'key-one';
  const call = () => {
    count += 1;
    const attempt = { id: `attempt-${count}`, key: currentKey, at: now(), status: 'no answer' };
    sent.push(attempt);
    const outgoing = request({
      host: HOST,
      port: callers,
      path: '/booking/',
      method: 'POST',
      agent: false,
      headers: {
        host: 'service.example',
        'attempt-id': attempt.id,
        'deadline-ms': '2500',
        authorization: `Bearer ${attempt.key}`,
        'content-length': 0,
      },
    });
    outgoing.on('response', (incoming) => {
      incoming.resume();
      attempt.status = incoming.statusCode;
    });
    outgoing.on('error', () => undefined);
    outgoing.end();
  };
  const traffic = setInterval(call, REQUEST_INTERVAL_MILLISECONDS);

  let wrong = 0;
  for (let round = 1; round <= ROUNDS; round += 1) {
    const key = `key-round-${round}`;
    currentKey = key;
    await sleep(1000);
    if (TROUBLE) front.turnAway();
    const turnedAwayAt = now();
    await sleep(CHANGE_MILLISECONDS);
    keys.delete(key);
    writeConfiguration();
    const acknowledgedAt = now();
    await sleep(SHORTEST_MILLISECONDS - CHANGE_MILLISECONDS);
    while (
      now() < turnedAwayAt + LONGEST_MILLISECONDS &&
      front.sinceVainCall() > RECENT_MILLISECONDS
    ) {
      await sleep(10);
    }
    front.serve();
    const servedAt = now();
    const inTouchAt = TROUBLE ? servedAt + CONTACT_MILLISECONDS : acknowledgedAt;
    const boundAt = Math.max(acknowledgedAt + APPLY_MILLISECONDS, inTouchAt) + SLACK_MILLISECONDS;
    await sleep(CONTACT_MILLISECONDS + 2500);
    const late = sent.filter((attempt) => attempt.key === key && attempt.at > boundAt);
    const run = late.filter(({ id }) => runs.has(id));
    wrong += run.length;
    const seconds = (from, to) => ((to - from) / 1000).toFixed(2);
    const last = run.at(-1);
    record.add(
      `round ${round}: turned away for ${seconds(turnedAwayAt, servedAt)} s; ${late.length} requests with the key ` +
        `were sent too late, ${run.length} of them ran${
          last === undefined
            ? ''
            : `, the last one ${seconds(acknowledgedAt, last.at)} s after the ack and ` +
              `${seconds(inTouchAt, last.at)} s after the entry was in touch again`
        }`,
    );
  }
  clearInterval(traffic);
  clearInterval(heartbeats);
  record.add(`${count} requests sent, ${runs.size} run, ${wrong} with a key that was taken away`);
  runner.server.closeAllConnections();
  runner.server.close();
  front.close();
  store.close();
  return wrong === 0;
});
