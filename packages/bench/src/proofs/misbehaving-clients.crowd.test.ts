import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  BodyFraming,
  bodyPieces,
  ClientEnding,
  headLines,
  openCrowd,
  peakResidentBytes,
  watchDescriptors,
} from '@lapisbridge/users-platform';
import type { BodyPlan, ClientPlan, DescriptorWatch } from '@lapisbridge/users-platform';
import { generate } from 'selfsigned';
import { Agent, request } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';

import { accountKey, launchSite, OPERATOR_TOKEN } from '../site/site.js';
import type { Site, SiteOptions } from '../site/site.js';

const HOST = '127.0.0.1';
const KIBIBYTE = 1024;
const MEBIBYTE = KIBIBYTE * KIBIBYTE;
const BYTES_PER_MEGABYTE = 1e6;
const MACHINE = { memoryMegabytes: 350, maximumDescriptors: 4200 };
const FEW_DESCRIPTORS = { memoryMegabytes: 350, maximumDescriptors: 600 };
const PATH = '/services/inspection/histories';
const PLAY_MILLISECONDS = 15_000;
const SETTLE_MILLISECONDS = 1000;
const ATTEMPTS = 8;
const RETRY_PAUSE_MILLISECONDS = 500;

let site: Site | undefined;
let descriptors: DescriptorWatch | undefined;

afterEach(async () => {
  descriptors?.stop();
  await site?.stop();
});

interface Target {
  readonly pid: number;
  readonly callerPort: number;
  readonly operatorPort: number;
  readonly peerPort: number;
  readonly url: string;
}

async function startSite(
  entrySettings: NonNullable<SiteOptions['entrySettings']>,
): Promise<Target> {
  site = await launchSite({ example: 'brno', engine: { warmUpTokens: 0 }, entrySettings });
  const [entry] = site.entries;
  if (entry === undefined) throw new Error('a site needs an entry');
  const { pid } = site.process(entry.id);
  descriptors = watchDescriptors(pid);
  return {
    pid,
    callerPort: Number(new URL(entry.url).port),
    operatorPort: Number(new URL(entry.operatorUrl).port),
    peerPort: entry.peerPort,
    url: entry.url,
  };
}

/** What the entry's bounds were exceeded by; empty if it holds all of them. */
function findFaults({ pid }: Target, machine: typeof MACHINE): string[] {
  const isAlive = site?.processes.some((one) => one.pid === pid && !one.exited) ?? false;
  if (!isAlive) return ['the entry has ended'];
  const faults: string[] = [];
  const bytes = peakResidentBytes(pid);
  if (bytes > machine.memoryMegabytes * BYTES_PER_MEGABYTE) faults.push(`${bytes} bytes resident`);
  const open = descriptors?.maximum() ?? 0;
  if (open > machine.maximumDescriptors) faults.push(`${open} descriptors`);
  return faults;
}

/** Sends a proper request as callers do, again until it is answered; resolves with the status. */
async function lookUp(url: string): Promise<number> {
  for (let attempt = 1; ; attempt += 1) {
    const agent = new Agent({ connect: { rejectUnauthorized: false } });
    const status = await request(`${url}${PATH}`, {
      dispatcher: agent,
      method: 'POST',
      headers: { authorization: `Bearer ${accountKey('head-office')}` },
      body: '{}',
    }).then(
      async (reply) => {
        await reply.body.dump();
        return reply.statusCode;
      },
      () => 0,
    );
    await agent.destroy();
    if (status === 200 || attempt === ATTEMPTS) return status;
    await sleep(RETRY_PAUSE_MILLISECONDS);
  }
}

function clients(count: number, pieces: () => Iterable<Buffer>): ClientPlan[] {
  return Array.from({ length: count }, () => ({
    pieces: pieces(),
    ending: ClientEnding.Stay,
    isReading: true,
  }));
}

function bodies(count: number, change: Partial<BodyPlan>): ClientPlan[] {
  return clients(count, () =>
    bodyPieces({
      path: PATH,
      key: accountKey('head-office'),
      framing: BodyFraming.Chunks,
      chunkBytes: 64 * KIBIBYTE,
      bodyBytes: MEBIBYTE,
      missingBytes: 0,
      ...change,
    }),
  );
}

function* partialHead(bytes: number): Generator<Buffer> {
  yield Buffer.from(`${headLines('POST', PATH)}x-long: ${'x'.repeat(bytes)}`);
}

function* announcedFrames(length: number, bytes: number): Generator<Buffer> {
  const head = Buffer.alloc(4);
  head.writeUInt32BE(length);
  yield head;
  const piece = Buffer.alloc(64 * KIBIBYTE);
  for (let sent = 0; sent < bytes; sent += piece.length) yield piece;
}

interface CrowdCase {
  readonly name: string;
  readonly machine: typeof MACHINE;
  readonly port: 'callerPort' | 'operatorPort' | 'peerPort';
  plans(): ClientPlan[];
}

const CASES: readonly CrowdCase[] = [
  {
    name: 'own interface: bodies in chunks of one byte that stop short',
    machine: MACHINE,
    port: 'callerPort',
    plans: () => bodies(40, { chunkBytes: 1, missingBytes: 1 }),
  },
  {
    name: 'own interface: large bodies that stop short',
    machine: MACHINE,
    port: 'callerPort',
    plans: () => bodies(400, { missingBytes: 64 * KIBIBYTE }),
  },
  {
    name: 'own interface: more connections than descriptors',
    machine: FEW_DESCRIPTORS,
    port: 'callerPort',
    plans: () => clients(1500, () => partialHead(100)),
  },
  {
    name: 'own interface: incomplete heads near the limit',
    machine: MACHINE,
    port: 'callerPort',
    plans: () => clients(3500, () => partialHead(15 * KIBIBYTE)),
  },
  {
    name: 'operator interface: large bodies that stop short',
    machine: MACHINE,
    port: 'operatorPort',
    plans: () =>
      bodies(40, {
        path: '/v1/document',
        key: OPERATOR_TOKEN,
        bodyBytes: 15 * MEBIBYTE,
        missingBytes: 64 * KIBIBYTE,
      }),
  },
  {
    name: 'operator interface: more connections than descriptors',
    machine: FEW_DESCRIPTORS,
    port: 'operatorPort',
    plans: () => clients(1500, () => partialHead(100)),
  },
];

describe('an entry of the product itself keeps within its machine and answers others beside', () => {
  for (const { name, machine, port, plans } of CASES) {
    it(name, async () => {
      const target = await startSite({ machine });
      const crowd = openCrowd(HOST, target[port], plans());
      await Promise.race([crowd.sent, sleep(PLAY_MILLISECONDS)]);
      await sleep(SETTLE_MILLISECONDS);
      expect(findFaults(target, machine)).toEqual([]);
      expect(await lookUp(target.url)).toBe(200);
      crowd.leave();
      expect(await lookUp(target.url)).toBe(200);
      expect(findFaults(target, machine)).toEqual([]);
    });
  }

  it('own interface: handshakes that are never finished', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lapisbridge-'));
    const transportSecurity = {
      certificateFile: join(folder, 'certificate.pem'),
      keyFile: join(folder, 'key.pem'),
    };
    const { cert, private: key } = generate([{ name: 'commonName', value: HOST }], {
      keySize: 2048,
    });
    writeFileSync(transportSecurity.certificateFile, cert);
    writeFileSync(transportSecurity.keyFile, key);
    const target = await startSite({ machine: FEW_DESCRIPTORS, transportSecurity });
    const crowd = openCrowd(
      HOST,
      target.callerPort,
      clients(1500, () => [Buffer.from([0x16, 0x03, 0x01])]),
    );
    await Promise.race([crowd.sent, sleep(PLAY_MILLISECONDS)]);
    await sleep(SETTLE_MILLISECONDS);
    expect(findFaults(target, FEW_DESCRIPTORS)).toEqual([]);
    expect(await lookUp(target.url)).toBe(200);
    crowd.leave();
    rmSync(folder, { recursive: true });
  });
});

describe('the listener for other instances keeps within its machine', () => {
  it('frames of a large announced length that are never complete', async () => {
    const target = await startSite({ machine: MACHINE });
    const plans = clients(60, () => announcedFrames(16 * MEBIBYTE, 12 * MEBIBYTE));
    const crowd = openCrowd(HOST, target.peerPort, plans);
    await Promise.race([crowd.sent, sleep(PLAY_MILLISECONDS)]);
    await sleep(SETTLE_MILLISECONDS);
    expect(findFaults(target, MACHINE)).toEqual([]);
    expect(await lookUp(target.url)).toBe(200);
    crowd.leave();
  });

  it('more connections of other instances than descriptors', async () => {
    const target = await startSite({ machine: FEW_DESCRIPTORS });
    const crowd = openCrowd(
      HOST,
      target.peerPort,
      clients(1500, () => [Buffer.alloc(2)]),
    );
    await Promise.race([crowd.sent, sleep(PLAY_MILLISECONDS)]);
    await sleep(SETTLE_MILLISECONDS);
    expect(findFaults(target, FEW_DESCRIPTORS)).toEqual([]);
    expect(await lookUp(target.url)).toBe(200);
    crowd.leave();
  });
});
