/* eslint-disable no-restricted-syntax, no-await-in-loop, import-x/extensions */
/**
 * Both entries of a small deployment are cut off from the platform's store for some seconds, and a
 * runner leaves meanwhile: the store drops its row at once. From `contact_ms` after the cut the
 * entries are in touch again, and no request that a client sends from then on may reach the runner.
 * That happens several times, each time with another runner. All other runners stay.
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
} from '../site.mjs';

/** The entries use the same ports, as machines of a day do. */
const ENTRY_HOSTS = ['127.0.0.1', '127.0.0.2'];
const HOST = '127.0.0.1';
const ROUNDS = 4;
/** The cut ends when both entries have just asked the store in vain once more, or at the latest. */
const SHORTEST_CUT_MILLISECONDS = 3500;
const LONGEST_CUT_MILLISECONDS = 5800;
const RECENT_MILLISECONDS = 350;
/** The runner leaves so long after the cut began. */
const LEAVING_MILLISECONDS = 500;
const CONTACT_MILLISECONDS = 3000;
const DRAIN_MILLISECONDS = 2000;
/** The runner ends so long after the entries are in touch again: many seconds after it left. */
const END_MILLISECONDS = 500;
/** For the way from the client to the entry and from there to the runner. */
const SLACK_MILLISECONDS = 100;
const HEARTBEAT_MILLISECONDS = 1200;
const WORK_MILLISECONDS = 200;
const REQUEST_INTERVAL_MILLISECONDS = 25;

const now = () => performance.now();

/** Forwards channels to the store; while the link is cut, nothing passes, on old ones for good. */
async function startLink(storeAddress) {
  const [host, port] = storeAddress.split(':');
  const channels = new Set();
  let isCut = false;
  let vainCallAt = -Infinity;
  const server = createTcpServer((near) => {
    const channel = { near, isDead: isCut };
    channels.add(channel);
    near.on('error', () => undefined);
    near.on('close', () => channels.delete(channel));
    if (channel.isDead) {
      near.on('data', (chunk) => {
        if (chunk.includes('table=servers')) vainCallAt = now();
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
    cut() {
      isCut = true;
      for (const channel of channels) channel.isDead = true;
    },
    heal() {
      isCut = false;
    },
    /** Milliseconds since the entry asked for the servers while the link was cut. */
    sinceVainCall: () => now() - vainCallAt,
    close() {
      for (const { near } of channels) near.destroy();
      server.close();
    },
  };
}

/** A sound runner; it serves until the case ends it. */
async function startRunner(instance, arrivals) {
  const server = createServer((incoming, response) => {
    incoming.resume();
    incoming.on('end', () => {
      const id = incoming.headers['attempt-id'];
      if (incoming.headers['expect-instance'] !== instance) {
        response.writeHead(421, { 'attempt-id': id, 'not-executed': '1', 'content-length': 0 });
        response.end();
        return;
      }
      arrivals.push({ at: now(), id, instance });
      setTimeout(() => {
        response.writeHead(200, {
          'attempt-id': id,
          'server-signature': `signed.${id}`,
          'content-length': 2,
        });
        response.end('ok');
      }, WORK_MILLISECONDS);
    });
  });
  return { server, instance, address: `${HOST}:${await listen(server, HOST)}` };
}

function end({ server }) {
  server.closeAllConnections();
  server.close();
}

async function startEntry(host, ports, storeAddress) {
  const [front, readiness, peer, metrics] = ports;
  const entry = startProgram(
    'entry',
    createSettings({
      instanceId: `edge-zone-a-${host.split('.').at(-1)}`,
      host,
      callerAddress: `${host}:${front}`,
      readinessAddress: `${host}:${readiness}`,
      peerPort: peer,
      metricsPort: metrics,
      seedAddresses: ENTRY_HOSTS.map((seed) => `${seed}:${peer}`).join(','),
      storeAddress,
    }),
  );
  const wasReady = await waitUntil(() => isReady(`${host}:${readiness}`), 15_000);
  if (!wasReady) throw new Error(`the entry at ${host} was not ready in time`);
  return entry;
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (record) => {
  const arrivals = [];
  const sentAt = new Map();
  const statuses = new Map();
  const store = await startStore(HOST);
  const links = [];
  store.put(
    'op',
    'config',
    createConfiguration(
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
    ),
  );
  const listed = new Set();
  let sequence = 0;
  const write = (runner) => {
    sequence += 1;
    store.put('servers', runner.instance, {
      service: 'app',
      address: runner.address,
      zone: 'zone-a',
      version: 1,
      batch_slots: 24,
      state: 'ready',
      warmup_left_ms: 0,
      sequence,
    });
  };
  const heartbeats = setInterval(() => {
    for (const runner of listed) write(runner);
  }, HEARTBEAT_MILLISECONDS);
  const add = async (instance) => {
    const runner = await startRunner(instance, arrivals);
    listed.add(runner);
    write(runner);
    return runner;
  };
  const runners = [await add('i-stays')];
  const ports = await freePorts(HOST, 4);
  for (const host of ENTRY_HOSTS) {
    const link = await startLink(store.address);
    links.push(link);
    await startEntry(host, ports, link.address);
  }
  await sleep(CONTACT_MILLISECONDS);

  let count = 0;
  const call = () => {
    count += 1;
    const id = `attempt-${count}`;
    sentAt.set(id, now());
    const outgoing = request({
      host: ENTRY_HOSTS[count % ENTRY_HOSTS.length],
      port: ports[0],
      path: '/booking/',
      method: 'POST',
      agent: false,
      headers: {
        host: 'service.example',
        'attempt-id': id,
        'deadline-ms': '2500',
        authorization: 'Bearer key-one',
        'content-length': 0,
      },
    });
    outgoing.on('response', (incoming) => {
      incoming.resume();
      statuses.set(id, incoming.statusCode);
    });
    outgoing.on('error', () => statuses.set(id, 'no answer'));
    outgoing.end();
  };
  const traffic = setInterval(call, REQUEST_INTERVAL_MILLISECONDS);

  let late = 0;
  let lost = 0;
  for (let round = 1; round <= ROUNDS; round += 1) {
    const runner = await add(`i-leaves-${round}`);
    runners.push(runner);
    await sleep(2000);
    if (TROUBLE) for (const link of links) link.cut();
    const cutAt = now();
    await sleep(LEAVING_MILLISECONDS);
    listed.delete(runner);
    store.put('servers', runner.instance, undefined);
    const goneAt = now();
    await sleep(SHORTEST_CUT_MILLISECONDS - LEAVING_MILLISECONDS);
    const haveJustAsked = () => links.every((link) => link.sinceVainCall() < RECENT_MILLISECONDS);
    while (now() < cutAt + LONGEST_CUT_MILLISECONDS && !haveJustAsked()) await sleep(10);
    for (const link of links) link.heal();
    const healedAt = now();
    const inTouchAt = TROUBLE ? healedAt + CONTACT_MILLISECONDS : goneAt;
    await sleep(CONTACT_MILLISECONDS + END_MILLISECONDS);
    end(runner);
    await sleep(800);
    const boundAt = Math.max(goneAt + DRAIN_MILLISECONDS, inTouchAt) + SLACK_MILLISECONDS;
    const reached = arrivals.filter(({ instance }) => instance === runner.instance);
    const wrong = reached.filter(({ id }) => sentAt.get(id) > boundAt);
    const unanswered = wrong.filter(({ id }) => statuses.get(id) !== 200).length;
    late += wrong.length;
    lost += unanswered;
    const seconds = (from, to) => ((to - from) / 1000).toFixed(2);
    record.add(
      `round ${round}: cut for ${seconds(cutAt, healedAt)} s; ${reached.length} requests ran at ${runner.instance}, ` +
        `${wrong.length} of them sent too late${
          wrong.length === 0
            ? ''
            : ` (${unanswered} got no answer of it), the last one ${seconds(goneAt, sentAt.get(wrong.at(-1).id))} s after the store acknowledged ` +
              `that it is gone and ${seconds(inTouchAt, sentAt.get(wrong.at(-1).id))} s after the entries were in touch again`
        }`,
    );
  }
  clearInterval(traffic);
  clearInterval(heartbeats);
  record.add(
    `${count} requests sent, ${arrivals.length} run, ${late} at a runner that was gone; ${lost} of these ` +
      'were cut when it ended',
  );
  for (const runner of runners) end(runner);
  for (const link of links) link.close();
  store.close();
  return late === 0;
});
