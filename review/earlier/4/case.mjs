/* eslint-disable no-restricted-syntax, no-await-in-loop, import-x/extensions */
/**
 * An entry gets SIGTERM while callers read their answers slowly, for some seconds, and then at full
 * speed. Every answer has to arrive whole: its request was read, it was passed on, its server
 * answered at once, and its caller reads all of it well within the grace time.
 *
 * What a connection holds in the kernel is measured first, so that the answers are somewhat larger.
 */
import { createHash } from 'node:crypto';
import { createServer, request } from 'node:http';
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
const CALLERS = 44;
/** Answers differ by this much, so that the last piece of some finds the connection full. */
const STEP_BYTES = 8 * 1024;
const PIECE_BYTES = 64 * 1024;
/** A caller reads this much in each pause: 64 KB a second at first, later as fast as it can. */
const READ_BYTES = 16 * 1024;
const PAUSE_MILLISECONDS = 250;
/** For so long after its request was sent a caller reads slowly. */
const SLOW_MILLISECONDS = 5500;
const TERM_AFTER_MILLISECONDS = 100;
const DEADLINE_MILLISECONDS = 20_000;

function createBody(length) {
  const body = Buffer.alloc(length);
  for (let index = 0; index < length; index += 1) body[index] = 97 + ((index * 7919) % 26);
  return body;
}

const digestOf = (bytes) => createHash('sha256').update(bytes).digest('hex').slice(0, 16);

/** A sound runner: answers each request whole, with a length, and waits for slow readers. */
async function startRunner(record) {
  const server = createServer((incoming, response) => {
    incoming.resume();
    incoming.on('end', () => {
      const id = incoming.headers['attempt-id'];
      if (incoming.headers['expect-instance'] !== 'i-runner') {
        response.writeHead(421, { 'attempt-id': id, 'not-executed': '1', 'content-length': 0 });
        response.end();
        return;
      }
      const body = createBody(Number(incoming.url.split('/').at(-1)));
      record.add(`runner runs ${id}`);
      response.writeHead(200, {
        'attempt-id': id,
        'server-signature': `signed.${id}`,
        'content-length': body.length,
      });
      response.end(body, () => record.add(`runner has written its whole answer to ${id}`));
    });
  });
  return { server, port: await listen(server, HOST) };
}

/** Sends one request and reads its answer at a steady pace, never pausing for long. */
function call({ host, port, id, bytes, record }) {
  return new Promise((resolve) => {
    const chunks = [];
    let received = 0;
    const finish = (outcome) => {
      record.add(`caller ${id}: ${outcome}, ${received} of ${bytes} bytes`);
      const isWhole =
        received === bytes && digestOf(Buffer.concat(chunks)) === digestOf(createBody(bytes));
      resolve({ isWhole: outcome === 'answer complete' && isWhole });
    };
    const outgoing = request({
      host,
      port,
      path: `/big/${bytes}`,
      headers: {
        host: 'service.example',
        'attempt-id': id,
        'deadline-ms': String(DEADLINE_MILLISECONDS),
        authorization: 'Bearer key-one',
      },
    });
    outgoing.on('error', (error) => finish(`connection failed (${error.code})`));
    outgoing.on('response', (incoming) => {
      record.add(`caller ${id}: status ${incoming.statusCode}`);
      const sentAt = performance.now();
      const take = () => {
        const isSlow = performance.now() - sentAt < SLOW_MILLISECONDS;
        const chunk = isSlow ? incoming.read(READ_BYTES) : incoming.read();
        if (chunk !== null) {
          chunks.push(chunk);
          received += chunk.length;
        }
        return isSlow;
      };
      const readOn = () => {
        if (take()) setTimeout(readOn, PAUSE_MILLISECONDS);
        else
          incoming.on('data', (chunk) => {
            chunks.push(chunk);
            received += chunk.length;
          });
      };
      incoming.once('readable', readOn);
      incoming.on('error', () => undefined);
      incoming.on('close', () =>
        finish(incoming.complete ? 'answer complete' : 'channel closed within the answer'),
      );
    });
    outgoing.end();
    record.add(`caller ${id}: request of ${bytes} bytes sent`);
  });
}

/** How many pieces of an answer leave the process while its caller reads slowly. */
async function countPiecesInKernel() {
  let pieces = 0;
  let host;
  const server = createServer((incoming, response) => {
    host = response;
    response.writeHead(200, { 'content-length': 1000 * PIECE_BYTES });
    const piece = Buffer.alloc(PIECE_BYTES);
    const writeMore = () => {
      pieces += 1;
      if (response.write(piece)) writeMore();
      else response.once('drain', writeMore);
    };
    writeMore();
  });
  const port = await listen(server, HOST);
  const bytes = 1000 * PIECE_BYTES;
  call({ host: HOST, port, id: 'measurement', bytes, record: { add: () => undefined } });
  await sleep(2500);
  host.destroy();
  server.closeAllConnections();
  server.close();
  return pieces;
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (record) => {
  const store = await startStore(HOST);
  const runner = await startRunner(record);
  store.put(
    'op',
    'config',
    createConfiguration(
      [
        {
          name: 'big',
          prefix: '/big/',
          route_type: 'idempotent',
          timeout_ms: 20_000,
          target_latency_ms: 1000,
          priority_class: 1,
          max_attempts: 1,
          service: 'app',
        },
      ],
      [{ name: 'app', max_connections: 100, health_check_path: '/healthz' }],
    ),
  );
  store.put('servers', 'i-runner', {
    service: 'app',
    address: `${HOST}:${runner.port}`,
    zone: 'zone-a',
    version: 1,
    batch_slots: 64,
    state: 'ready',
    warmup_left_ms: 0,
    sequence: 1,
  });
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
  await sleep(2000);
  const pieces = await countPiecesInKernel();
  record.add(`${pieces} pieces of ${PIECE_BYTES} bytes until a connection is full`);

  const calls = [];
  for (let number = 1; number <= CALLERS; number += 1) {
    const bytes = pieces * PIECE_BYTES + number * STEP_BYTES;
    calls.push(call({ host: HOST, port: front, id: `attempt-${number}`, bytes, record }));
    await sleep(25);
  }
  await sleep(TERM_AFTER_MILLISECONDS);
  const signalledAt = performance.now();
  if (TROUBLE) {
    entry.child.kill('SIGTERM');
    record.add('SIGTERM to the entry');
  }
  const answers = await Promise.all(calls);
  const endedAfter = Math.round(performance.now() - signalledAt);
  record.add(`all channels had ended ${endedAfter} ms after ${TROUBLE ? 'SIGTERM' : 'then'}`);
  if (TROUBLE) record.add(`the entry ended with code ${(await entry.exited).code}`);
  // What the entry cuts by its limit on unread bytes has another cause and does not count.
  const cut = new Set();
  for (const line of entry.lines) if (line.kind === 'cut') cut.add(line.subject);
  record.add(`${cut.size} answers cut by the entry's limit on unread bytes`);
  const lost = answers.filter(
    ({ isWhole }, index) => !isWhole && !cut.has(`attempt-${index + 1}`),
  ).length;
  record.add(`${CALLERS} requests were read and passed on, ${lost} without a whole answer`);
  runner.server.closeAllConnections();
  runner.server.close();
  store.close();
  return lost === 0;
});
