/* eslint-disable no-await-in-loop, import-x/extensions */
/**
 * Runners crash, one at a time, with answers under way that have neither a length nor chunks, and
 * others come some seconds later. A caller whose answer was cut off must not take it for whole.
 *
 * Each runner also has idle channels of other callers, fewer than it accepts.
 */
import { request } from 'node:http';
import { connect } from 'node:net';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

import {
  createConfiguration,
  createSettings,
  freePorts,
  isReady,
  runCase,
  sleep,
  startProgram,
  startStandIn,
  startStore,
  TROUBLE,
  waitUntil,
} from '../../site.mjs';

const HOST = '127.0.0.1';
const FOLDER = dirname(fileURLToPath(import.meta.url));
const RUNNERS = 8;
const CALLERS = 64;
/** As the runner sends them. */
const EVENTS = 33;
const MAXIMUM_CHANNELS = 208;
const IDLE_CHANNELS = 190;
const CRASHES = 7;
const CRASH_AFTER_MILLISECONDS = 1500;
const DOWN_MILLISECONDS = 4500;
const DEADLINE_MILLISECONDS = 8000;

/** Sends one request and reads its answer. */
function call({ port, path, id, record }) {
  return new Promise((resolve) => {
    let text = '';
    const finish = (isComplete, outcome) => {
      const events = text.split('\n\n').length - 1;
      const isWhole = events === EVENTS;
      if (!isWhole) record.add(`caller ${id}: ${outcome}; ${events} of ${EVENTS} events`);
      resolve({ isComplete, isWhole });
    };
    const outgoing = request({
      host: HOST,
      port,
      path,
      headers: {
        host: 'service.example',
        'attempt-id': id,
        'deadline-ms': String(DEADLINE_MILLISECONDS),
        authorization: 'Bearer key-one',
      },
    });
    outgoing.on('error', (error) => finish(false, `connection failed (${error.code})`));
    outgoing.on('response', (incoming) => {
      const { statusCode } = incoming;
      incoming.on('data', (chunk) => {
        text += chunk.toString('latin1');
      });
      incoming.on('error', () => undefined);
      incoming.on('close', () => {
        const framing = incoming.complete ? 'complete by its framing' : 'visibly broken off';
        finish(statusCode === 200 && incoming.complete, `status ${statusCode}, ${framing}`);
      });
    });
    outgoing.end();
  });
}

/** Channels that other callers keep open. */
async function openIdleChannels(port) {
  for (let number = 0; number < IDLE_CHANNELS; number += 1) {
    await new Promise((resolve) => {
      const socket = connect({ host: HOST, port }, resolve);
      socket.on('error', resolve);
      socket.unref();
    });
  }
}

await runCase(FOLDER, async (record) => {
  const store = await startStore(HOST);
  const startRunner = async (instance) => {
    const process = startStandIn(join(FOLDER, 'runner.mjs'), instance, HOST);
    const portOf = () => process.lines.find(({ event }) => event === 'listening')?.port;
    if (!(await waitUntil(portOf, 5000))) throw new Error('a runner did not start');
    const put = (state, sequence) =>
      store.put('servers', instance, {
        service: 'app',
        address: `${HOST}:${portOf()}`,
        zone: 'zone-a',
        version: 1,
        batch_slots: 16,
        state,
        warmup_left_ms: 0,
        sequence,
      });
    put('ready', 1);
    await openIdleChannels(portOf());
    return { instance, process, port: portOf(), put };
  };
  const route = (name, type) => ({
    name,
    prefix: `/${name}/`,
    route_type: type,
    timeout_ms: 8000,
    target_latency_ms: 1000,
    target_gap_ms: 1000,
    priority_class: 1,
    max_attempts: 1,
    service: 'app',
  });
  store.put(
    'op',
    'config',
    createConfiguration(
      [route('stream', 'streaming'), route('order', 'non_idempotent')],
      [{ name: 'app', max_connections: MAXIMUM_CHANNELS, health_check_path: '/healthz' }],
    ),
  );
  const runners = [];
  for (let number = 1; number <= RUNNERS; number += 1) {
    runners.push(await startRunner(`i-${number}`));
  }
  const [front, readiness, peer, metrics] = await freePorts(HOST, 4);
  startProgram(
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
  await sleep(1500);

  const answers = [];
  let isOver = false;
  let sent = 0;
  const repeatCalls = async () => {
    while (!isOver) {
      sent += 1;
      const path = sent % 2 === 0 ? '/stream/answer' : '/order/answer';
      answers.push(await call({ port: front, path, id: `attempt-${sent}`, record }));
    }
  };
  const callers = [];
  for (let number = 0; number < CALLERS; number += 1) {
    callers.push(repeatCalls());
    await sleep(37);
  }
  for (let crash = 0; crash < CRASHES; crash += 1) {
    await sleep(CRASH_AFTER_MILLISECONDS);
    const { instance, process } = runners.shift();
    if (TROUBLE) {
      process.child.kill('SIGKILL');
      await process.exited;
      const ran = process.lines.filter(({ event }) => event === 'runs').length;
      const answered = process.lines.filter(({ event }) => event === 'answered').length;
      record.add(`${instance} has crashed with ${ran - answered} answers under way`);
    }
    await sleep(DOWN_MILLISECONDS);
    if (TROUBLE) {
      store.put('servers', instance, undefined);
      runners.push(await startRunner(`i-${RUNNERS + crash + 1}`));
    }
  }
  isOver = true;
  await Promise.all(callers);
  const wrong = answers.filter(({ isComplete, isWhole }) => isComplete && !isWhole).length;
  const whole = answers.filter(({ isWhole }) => isWhole).length;
  record.add(`${answers.length} answers: ${whole} whole, ${wrong} look complete and are not`);
  store.close();
  return wrong === 0;
});
