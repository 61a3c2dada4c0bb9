/**
 * At most once, and "not run" is true: whole processes under kills, freezes, store outages
 * and lost answers.
 */
import { randomUUID } from 'node:crypto';

import { ClaimState } from '@lapisbridge/at-most-once';
import type { ClaimRecord } from '@lapisbridge/at-most-once';
import { ResultCode } from '@lapisbridge/errors';
import { checkAll } from '@lapisbridge/history';
import { OutageKind } from '@lapisbridge/stand-ins';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';

import { accountKey, launchSite } from '../site/site.js';
import type { Site } from '../site/site.js';
import type { CallReply } from '../site/caller.js';
import { getJson } from '../site/http-json.js';
import { awaitEvent } from '../load/await-event.js';
import { platformFaults, serviceFaults, statusOf } from '../load/operator.js';
import { createRecorder } from '../load/recorder.js';
import type { RecordedCall, Recorder } from '../load/recorder.js';

interface ClaimRow {
  readonly value: ClaimRecord;
}

const SERVICE = 'inspection';
const SIDECARS = ['brno-a', 'brno-b', 'brno-c'].map((zone) => `${zone}-${SERVICE}-1`);

let site: Site;
let recorder: Recorder;

beforeAll(async () => {
  site = await launchSite({ example: 'brno', runnersPerZone: 0 });
  recorder = createRecorder(site);
  await awaitRecovery();
  recorder.close();
});
afterAll(() => site.stop());
beforeEach(() => {
  recorder = createRecorder(site);
});
afterEach(async () => {
  await serviceFaults(site, { delayMilliseconds: 0, loseAnswers: 0 });
  await platformFaults(site, {
    outage: OutageKind.None,
    loseWriteAnswers: 0,
    delayMilliseconds: 0,
  });
  for (const one of site.processes) {
    if (!one.exited) one.thaw();
  }
  await awaitRecovery();
  recorder.close();
});

/**
 * After an outage each instance asks the table now and then, and until it has an answer it
 * says `unknown` or refuses. A test begins only once every entry and sidecar is back.
 */
async function awaitRecovery(): Promise<void> {
  for (const entry of site.entries.keys()) {
    await awaitEvent(`bookings by ${SIDECARS[entry]}`, () => isBookedByOwnZone(entry));
    await awaitEvent('the outcome of an unknown key', () => isNotRunProved(entry));
  }
}

async function isBookedByOwnZone(entry: number): Promise<true | undefined> {
  const { status, instance } = await recorder.bookOnce(entry, randomUUID());
  return status === 200 && instance === SIDECARS[entry] ? true : undefined;
}

async function isNotRunProved(entry: number): Promise<true | undefined> {
  const url = `${site.entries[entry]?.url}/v1/requests/${randomUUID()}`;
  const account = site.document.accounts[0]?.name ?? '';
  const { outcome } = await getJson<{ outcome: string }>(url, accountKey(account));
  return outcome === 'not-run' ? true : undefined;
}

async function expectPromisesKept(): Promise<void> {
  await recorder.recordEffects();
  expect(checkAll(recorder.history.events)).toEqual([]);
}

function bookEverywhere(key: string): Promise<CallReply[]> {
  return Promise.all([0, 1, 2].map((entry) => recorder.bookOnce(entry, key)));
}

async function countEffects(): Promise<number> {
  return (await getJson<unknown[]>(`${site.effectsUrl}/effects`)).length;
}

describe('an at-most-once call', () => {
  it('is refused as not run while the store is down and every sidecar remembers', async () => {
    // No sidecar of the service has died, so their memories together prove that a fresh key never
    // ran. The caller may book elsewhere at once instead of waiting for the outage to end; a key
    // that did run before is not called "not run".
    const ran = randomUUID();
    expect((await recorder.bookOnce(0, ran)).status).toBe(200);
    await platformFaults(site, { outage: OutageKind.Errors });
    const fresh = await recorder.bookOnce(1, randomUUID());
    expect(fresh).toMatchObject({ status: 503, code: ResultCode.StoreUnavailable, ran: 'no' });
    expect(fresh.retryAfterSeconds).toBeGreaterThan(0);
    expect(await recorder.bookOnce(2, ran)).toMatchObject({ status: 503, ran: 'unknown' });
    await expectPromisesKept();
  });

  it('runs once when the same key is sent through all entries at once', async () => {
    // A caller's library repeats a slow booking through another entry while the first one runs.
    // Two dispatches would book two slots for one inspector.
    await serviceFaults(site, { delayMilliseconds: 50 });
    for (const key of Array.from({ length: 10 }, () => randomUUID())) {
      const replies = await bookEverywhere(key);
      expect(replies.map(({ status }) => status)).toEqual([200, 200, 200]);
      const confirmations = replies.map(
        ({ body }) => (body as { confirmation: string }).confirmation,
      );
      expect(new Set(confirmations).size).toBe(1);
    }
    await expectPromisesKept();
  });

  it('is refused when its key stands for another body', async () => {
    // One key for two bookings is a caller's mistake; replaying the first answer would hide it.
    const key = randomUUID();
    await recorder.bookOnce(0, key, 5000, { slot: 1 });
    const reused = await recorder.bookOnce(1, key, 5000, { slot: 2 });
    expect(reused).toMatchObject({
      status: 422,
      code: ResultCode.IdempotencyKeyReused,
      ran: 'yes',
    });
    await expectPromisesKept();
  });

  it('runs at most once when its sidecar is killed while the service works', async () => {
    // The sidecar dies after dispatch, so nobody knows the outcome. Repeating the call elsewhere
    // would double it; telling "not run" would be a lie.
    await serviceFaults(site, { delayMilliseconds: 400 });
    const before = await countEffects();
    const victim = SIDECARS[1];
    const bookings: Promise<RecordedCall>[] = [];
    // Entries choose; calls are sent until the victim and another sidecar have one in progress.
    await awaitEvent('a claim of the victim and one of another sidecar', async () => {
      const index = bookings.length;
      bookings.push(recorder.book([index, index + 1], 4000));
      const rows = await getJson<ClaimRow[]>(`${site.platformUrl}/table/rows?prefix=claims/`);
      const claims = rows.filter(({ value }) => value.state === ClaimState.Claimed);
      const isOfVictim = claims.map(({ value }) => value.instanceId === victim);
      return isOfVictim.includes(true) && isOfVictim.includes(false) ? true : undefined;
    });
    await site.process(victim).kill();
    try {
      const booked = await Promise.all(bookings);
      expect(booked.some(({ replies }) => replies.at(-1)?.status === 200)).toBe(true);
      await awaitEvent('the service to finish', async () =>
        (await countEffects()) > before ? true : undefined,
      );
      await expectPromisesKept();
    } finally {
      // A victim that stayed away would fail every test after this one as well.
      site.restart(victim);
    }
  });

  it('runs at most once when its entry is killed after sending', async () => {
    // The caller's connection breaks and it repeats the call at another entry, which follows the
    // attempt that runs instead of starting a second one.
    await serviceFaults(site, { delayMilliseconds: 500 });
    const victim = site.entries[2]?.id ?? '';
    const key = randomUUID();
    const first = recorder.bookOnce(2, key);
    const row = encodeURIComponent(`claims/brno/${site.document.accounts[0]?.name}/${key}`);
    await awaitEvent('the claim', () => getJson(`${site.platformUrl}/table/rows/${row}`));
    await site.process(victim).kill();
    expect((await first).status).toBe(0);
    const second = await recorder.bookOnce(0, key);
    expect(second).toMatchObject({ status: 200, replayed: true, ran: 'yes' });
    await expectPromisesKept();
    site.restart(victim);
    await awaitEvent('the entry again', () => getJson(`${site.entries[2]?.url}/readyz`));
    await site.waitForServers(SERVICE, SIDECARS.length);
  });

  it('is told truthfully when a sidecar is frozen while callers go on elsewhere', async () => {
    // A paused process still believes that it holds its claims. Thawed, it must not run a call
    // that was meanwhile told "not run" or run elsewhere.
    const victim = SIDECARS[0];
    const process = site.process(victim);
    const bookings: Promise<unknown>[] = [];
    for (let index = 0; index < 30; index += 1) {
      bookings.push(recorder.book([index, index + 1, index + 2], 6000));
      if (index === 10) process.freeze();
    }
    await Promise.all(bookings);
    process.thaw();
    await awaitEvent('the thawed sidecar', async () => {
      const { instances } = await statusOf(site, 0);
      const view = instances.find(({ instanceId }) => instanceId === victim);
      return view?.load !== undefined && view.state === 'live' ? true : undefined;
    });
    await expectPromisesKept();
  });

  it('runs once when the table loses the answers of its writes', async () => {
    // The claim took effect and its answer was lost. Taking that for a failure would either block
    // the key or, worse, lead to a second claim and a second execution.
    await platformFaults(site, { loseWriteAnswers: 25, loseOnlyKeys: 'claims/' });
    const bookings = Array.from({ length: 40 }, (_, index) => recorder.book([index, index + 1]));
    const booked = await Promise.all(bookings);
    expect(booked.filter(({ replies }) => replies.at(-1)?.status === 200).length).toBeGreaterThan(
      0,
    );
    await expectPromisesKept();
  });

  it('is refused at once and truthfully while the store is down', async () => {
    // Without the table no claim can be made. Holding the caller until its deadline would help
    // nobody; it is told "not run" only because every sidecar says it never saw the key.
    await platformFaults(site, { outage: OutageKind.Silent });
    const [first] = (await recorder.book([0])).replies;
    expect([ResultCode.StoreUnavailable, ResultCode.OutcomeUnknown]).toContain(first?.code);
    expect(first?.retryAfterSeconds).toBeGreaterThan(0);
    const refused = await Promise.all(
      Array.from({ length: 10 }, (_, index) => recorder.book([index])),
    );
    for (const { replies } of refused) expect(replies[0]?.status).toBe(503);
    await platformFaults(site, { outage: OutageKind.None });
    const key = randomUUID();
    await awaitEvent('bookings again', async () =>
      (await recorder.bookOnce(1, key)).status === 200 ? true : undefined,
    );
    await expectPromisesKept();
  });

  it('is unknown, and stays once, when the service loses its answer', async () => {
    // The service ran the call and its answer was lost on the way. Only `unknown` is true, also
    // when the caller asks again by key or repeats the call.
    await serviceFaults(site, { loseAnswers: 1 });
    const key = randomUUID();
    const lost = await recorder.bookOnce(0, key);
    expect(lost).toMatchObject({ code: ResultCode.OutcomeUnknown, ran: 'unknown' });
    const again = await recorder.bookOnce(1, key);
    expect(again).toMatchObject({ code: ResultCode.OutcomeUnknown, ran: 'unknown' });
    await expectPromisesKept();
  });
});
