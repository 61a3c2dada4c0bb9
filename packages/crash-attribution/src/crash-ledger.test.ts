import { createRandom } from '@lapisbridge/kernel';
import { createSilentLogger } from '@lapisbridge/logger';
import { beforeEach, describe, expect, it } from 'vitest';

import { covers } from './covers.js';
import { createCrashLedger, StatementScope } from './crash-ledger.js';
import type { CrashLedger } from './crash-ledger.js';
import { decodeCrashStatements, encodeCrashStatements } from './crash-statements.js';
import type { CrashStatements } from './crash-statements.js';
import { createRequestDigest } from './request-digest.js';

let now = 0;
let blames: string[] = [];

beforeEach(() => {
  // An entry that has just started learns of times before its start.
  now = 0;
  blames = [];
});

function createLedger(): CrashLedger {
  return createCrashLedger({
    logger: createSilentLogger(),
    onChange: () => undefined,
    onQuarantine: (part) => blames.push(part),
    now: () => now,
  });
}

/** Passes everything on as datagrams do. */
function tell(from: CrashLedger, to: CrashLedger, scope = StatementScope.Recent): void {
  const bytes = JSON.stringify(encodeCrashStatements(from.statements(scope)));
  to.merge(decodeCrashStatements(JSON.parse(bytes) as Record<string, unknown>), 'peer');
}

function crash(ledger: CrashLedger, server: string, ...suspects: string[]): void {
  ledger.recordCrash({ server, endedAt: now, suspects, requests: [], isSilent: false });
}

describe('the crashes that entries know of', () => {
  it('lead to a quarantine at each entry, although no entry has seen two', () => {
    const [one, two, three] = [createLedger(), createLedger(), createLedger()];
    crash(one, 'server-1', 'bad');
    now = 4000;
    crash(two, 'server-2', 'bad');
    tell(one, three);
    tell(two, three);
    tell(three, one);
    now = 5100;
    for (const ledger of [one, three]) expect(ledger.findQuarantined(['aa', 'bad'])).toBe('bad');
    expect(two.findQuarantined(['bad'])).toBeUndefined();
    tell(one, two);
    expect(two.findQuarantined(['bad'])).toBe('bad');
  });

  it('do not blame a part that another entry has seen answered', () => {
    // Guards against blaming what most requests share.
    const [one, two] = [createLedger(), createLedger()];
    two.recordAnswered(['aa']);
    now = 3000;
    crash(one, 'server-1', 'aa', 'bad');
    tell(one, two);
    tell(two, one);
    now = 6000;
    crash(one, 'server-2', 'aa', 'bad');
    tell(one, two);
    now = 9000;
    for (const ledger of [one, two]) {
      expect(ledger.findQuarantined(['aa'])).toBeUndefined();
      expect(ledger.findQuarantined(['bad'])).toBe('bad');
    }
  });

  it('count once, in whatever order and however often they are told', () => {
    const [one, two] = [createLedger(), createLedger()];
    crash(one, 'server-1', 'a');
    for (let repeat = 0; repeat < 5; repeat += 1) {
      now += 1000;
      tell(one, two);
      tell(two, one);
      crash(two, 'server-1', 'a');
    }
    expect(one.findQuarantined(['a'])).toBeUndefined();
    expect(two.findQuarantined(['a'])).toBeUndefined();
  });

  it('are known to an entry that starts later, with the quarantine that followed', () => {
    now = 100_000;
    const old = createLedger();
    crash(old, 'server-1', 'bad');
    now += 4000;
    crash(old, 'server-2', 'bad');
    now += 2000;
    expect(old.findQuarantined(['bad'])).toBe('bad');
    const bytes = JSON.stringify(encodeCrashStatements(old.statements(StatementScope.All)));
    now = 0;
    const started = createLedger();
    started.merge(decodeCrashStatements(JSON.parse(bytes) as Record<string, unknown>), 'store');
    expect(started.findQuarantined(['bad'])).toBe('bad');
  });
});

describe('a quarantined part', () => {
  function quarantine(ledger: CrashLedger): void {
    crash(ledger, `server-${now}`, 'bad');
    now += 4000;
    crash(ledger, `server-${now}`, 'bad');
    now += 2000;
    expect(ledger.findQuarantined(['bad'])).toBe('bad');
  }

  it('is announced once, and still known after a day without most of an hour', () => {
    const ledger = createLedger();
    quarantine(ledger);
    now += 23 * 3_600_000;
    expect(ledger.findQuarantined(['bad'])).toBe('bad');
    expect(blames).toEqual(['bad']);
    now += 3_600_001;
    ledger.statements(StatementScope.Recent);
    crash(ledger, 'server-9', 'other');
    expect(ledger.findQuarantined(['bad'])).toBeUndefined();
  });

  it('is released everywhere by one answered request', () => {
    const [one, two] = [createLedger(), createLedger()];
    quarantine(one);
    tell(one, two);
    expect(two.findQuarantined(['bad'])).toBe('bad');
    two.recordAnswered(['bad']);
    now += 500;
    tell(one, two);
    tell(two, one);
    for (const ledger of [one, two]) expect(ledger.findQuarantined(['bad'])).toBeUndefined();
  });

  it('is released by an operator, and blamed again by later crashes', () => {
    const [one, two] = [createLedger(), createLedger()];
    quarantine(one);
    tell(one, two);
    now += 5000;
    one.release('bad');
    tell(two, one);
    tell(one, two);
    for (const ledger of [one, two]) expect(ledger.findQuarantined(['bad'])).toBeUndefined();
    now += 1000;
    quarantine(one);
  });

  it('is not pushed out by a flood of other parts', () => {
    // Guards against callers that make entries forget what they know.
    const ledger = createLedger();
    quarantine(ledger);
    for (let index = 0; index < 5000; index += 1) {
      ledger.recordAnswered([`e${index.toString(16)}`]);
      crash(ledger, `flood-${index}`, `f${index.toString(16)}`);
      now += 10;
    }
    expect(ledger.findQuarantined(['bad'])).toBe('bad');
    const statements = ledger.statements(StatementScope.All);
    expect(statements.crashes.length).toBeLessThanOrEqual(64);
    const told = JSON.stringify(encodeCrashStatements(ledger.statements(StatementScope.Recent)));
    expect(told.length).toBeLessThan(4000);
  });
});

describe('statements', () => {
  it('are empty while nothing is known', () => {
    const ledger = createLedger();
    ledger.recordAnswered(['aa', 'b1']);
    const encoded = encodeCrashStatements(ledger.statements(StatementScope.Recent));
    expect(JSON.stringify(encoded)).toBe('{}');
  });

  it('are decoded without what is not valid', () => {
    const decoded = decodeCrashStatements({
      crashes: [
        {
          server: 's',
          age: 5,
          suspects: ['ab', 'XY', 7, 'a'.repeat(33)],
          requests: [['rab', 2], ['ab', 1], ['rcd', 'x'], ['ref', -4], 7],
        },
        { server: 's' },
        'crash',
      ],
      cleared: [['ab', 5], ['zz', 5], ['cd'], 4],
      quarantined: 'none',
    });
    expect(decoded).toEqual({
      crashes: [
        {
          server: 's',
          ageMilliseconds: 5,
          suspects: ['ab'],
          requests: [
            { digest: 'rab', generation: 2 },
            { digest: 'ref', generation: 1 },
          ],
          isSilent: false,
          hasSurvived: false,
        },
      ],
      cleared: [{ cause: 'ab', ageMilliseconds: 5 }],
      quarantined: [],
      released: [],
    });
  });

  it('cover what they name, and not more', () => {
    const ledger = createLedger();
    crash(ledger, 'server-1', 'ab');
    const stored = ledger.statements(StatementScope.All);
    expect(covers(stored, ledger.statements(StatementScope.All))).toBe(true);
    crash(ledger, 'server-1', 'cd');
    expect(covers(stored, ledger.statements(StatementScope.All))).toBe(false);
  });
});

describe('the requests that are lost with servers', () => {
  const request = createRequestDigest({
    method: 'GET',
    host: 'host',
    target: '/popular',
    promptParts: [],
    body: Buffer.alloc(0),
  });
  const digest = request.full();

  function lose(ledger: CrashLedger, server: string, isSilent = false): void {
    const generation = 1 + ledger.generationOf(request);
    const requests = [{ digest, generation }];
    ledger.recordCrash({ server, endedAt: now, suspects: [], requests, isSilent });
  }

  it('are quarantined after the second end, for a while', () => {
    const ledger = createLedger();
    lose(ledger, 'server-1');
    expect(ledger.findQuarantined([], request)).toBeUndefined();
    now = 25;
    lose(ledger, 'server-2');
    expect(ledger.findQuarantined([], request)).toBe(digest);
    expect(ledger.quarantinedRequests()).toEqual([digest]);
    expect(ledger.quarantinedParts()).toEqual([]);
    now = 5000;
    expect(ledger.findQuarantined([], request)).toBe(digest);
    now = 700_000;
    expect(ledger.findQuarantined([], request)).toBeUndefined();
    lose(ledger, 'server-3');
    expect(ledger.findQuarantined([], request)).toBeUndefined();
  });

  it('are not quarantined if one is answered in between, here or elsewhere', () => {
    const [one, two] = [createLedger(), createLedger()];
    lose(one, 'server-1');
    tell(one, two);
    now = 20;
    two.recordRequestAnswered(request);
    tell(two, one);
    now = 25;
    lose(one, 'server-2');
    expect(one.findQuarantined([], request)).toBeUndefined();
    expect(one.generationOf(request)).toBe(1);
  });

  it('are quarantined after ends that follow an answer', () => {
    const ledger = createLedger();
    lose(ledger, 'server-1');
    now = 20;
    ledger.recordRequestAnswered(request);
    for (const server of ['server-2', 'server-3']) {
      now += 5000;
      lose(ledger, server);
    }
    expect(ledger.findQuarantined([], request)).toBe(digest);
  });

  it('do not count at a silent server that is heard again', () => {
    const [one, two] = [createLedger(), createLedger()];
    lose(one, 'server-1', true);
    tell(one, two);
    two.recordSurvivor('server-1');
    tell(two, one);
    now = 25;
    lose(one, 'server-2');
    expect(one.findQuarantined([], request)).toBeUndefined();
    expect(one.generationOf(request)).toBe(1);
  });

  it('count at a confirmed end, also if the server is heard later', () => {
    // Guards against bytes that were still on their way when the server ended.
    const ledger = createLedger();
    lose(ledger, 'server-1');
    ledger.recordSurvivor('server-1');
    now = 25;
    lose(ledger, 'server-2');
    expect(ledger.findQuarantined([], request)).toBe(digest);
  });

  it('are told from those at a process that has started there meanwhile', () => {
    const ledger = createLedger();
    lose(ledger, 'server-1');
    now = 2000;
    lose(ledger, ledger.currentProcess('server-1'));
    expect(ledger.findQuarantined([], request)).toBe(digest);
  });

  it('are announced once', () => {
    const [one, two] = [createLedger(), createLedger()];
    lose(one, 'server-1');
    two.merge(one.takeUnannounced() as CrashStatements, 'peer');
    expect(one.takeUnannounced()).toBeUndefined();
    expect(two.takeUnannounced()).toBeUndefined();
    expect(two.generationOf(request)).toBe(1);
  });
});

describe('a day of crashes without a crashing part', () => {
  const ENTRIES = 4;
  const SUBJECTS = 400;
  const ANSWERS_PER_SECOND = 30;
  const SERVERS = 12;
  /** Requests at a server that it has not begun to answer. */
  const UNANSWERED = 4;

  /** Popular subjects come much more often than others. */
  function drawSubject(random: () => number): string {
    return Math.floor(SUBJECTS * random() ** 3).toString(16);
  }

  /** Number of servers that end in a second: a quarter of them four times, and single ones. */
  function drawEnds(second: number, random: () => number): number {
    if (second % 20 === 10) return SERVERS / 4;
    return random() < 0.06 ? 1 : 0;
  }

  function playDay(seed: number): number {
    const random = createRandom(seed);
    now = 0;
    blames = [];
    const ledgers = Array.from({ length: ENTRIES }, createLedger);
    const visit = (action: (ledger: CrashLedger) => void): void => {
      const ledger = ledgers[Math.floor(random() * ENTRIES)];
      if (ledger !== undefined) action(ledger);
    };
    for (let second = 0; second < 90; second += 1) {
      now += 1000;
      const ends = drawEnds(second, random);
      // A lock-step group stands still after a crash, and answers nothing.
      for (let index = 0; index < (ends > 0 ? 0 : ANSWERS_PER_SECOND); index += 1) {
        visit((ledger) => ledger.recordAnswered(['aa', drawSubject(random)]));
      }
      for (let index = 0; index < ends * UNANSWERED; index += 1) {
        const server = `${second}-${index % ends}`;
        visit((ledger) => crash(ledger, server, 'aa', drawSubject(random)));
      }
      for (const from of ledgers) for (const to of ledgers) if (from !== to) tell(from, to);
    }
    return blames.length;
  }

  it('blames nothing', () => {
    // Guards against losing sound requests on days with many crashes.
    let blamed = 0;
    for (let seed = 1; seed <= 25; seed += 1) blamed += playDay(seed);
    expect(blamed).toBe(0);
  });
});
