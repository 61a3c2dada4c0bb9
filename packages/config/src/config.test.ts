/**
 * Checks of settings and documents, and the committed examples and schemas.
 */
import { readFileSync } from 'node:fs';

import { ResultCode } from '@lapisbridge/errors';
import { describe, expect, it } from 'vitest';

import {
  checkDocument,
  checkSettings,
  diffDocuments,
  DifferenceKind,
  jsonSchemas,
} from './index.js';

const ROOT = new URL('../../../', import.meta.url);

function readRoot(path: string): string {
  return readFileSync(new URL(path, ROOT), 'utf8');
}

function problemsOf(text: string): Record<string, string> {
  const error = checkDocument(text).swap().unsafeCoerce();
  expect(error.code).toBe(ResultCode.DocumentInvalid);
  return Object.fromEntries(error.problems.map(({ path, message }) => [path, message]));
}

describe('an environment document', () => {
  it.each(['brno', 'wholesale'])('of examples/ is valid: %s', (name) => {
    expect(checkDocument(readRoot(`examples/${name}.json`)).isRight()).toBe(true);
  });

  it('is refused with every problem at once, each with its path', () => {
    const document = JSON.parse(readRoot('examples/brno.json')) as Record<string, unknown>;
    const broken = {
      ...document,
      acounts: [],
      limits: { queueMillisecond: 5, retryBudgetRatio: 7 },
      services: [{ name: 'a', operations: [{ path: '/x', kind: 'Sometimes' }] }],
    };
    const problems = problemsOf(JSON.stringify(broken));
    expect(problems['$.acounts']).toContain('did you mean "accounts"');
    expect(problems['$.limits.queueMillisecond']).toContain('did you mean "queueMilliseconds"');
    expect(problems['$.limits.retryBudgetRatio']).toContain('<=1');
    expect(problems['$.services[0].operations[0].kind']).toContain('AtMostOnce');
  });

  it('is refused when two accounts have one name', () => {
    const document = JSON.parse(readRoot('examples/brno.json')) as { accounts: unknown[] };
    const text = JSON.stringify({
      ...document,
      accounts: [...document.accounts, document.accounts[0]],
    });
    expect(Object.values(problemsOf(text))[0]).toContain('stands twice');
  });

  it('is refused when it is not JSON', () => {
    expect(Object.keys(problemsOf('{'))).toEqual(['$']);
  });
});

describe('settings', () => {
  it.each(['brno', 'wholesale'])('of the example deployment are valid: %s', (name) => {
    const deployment = JSON.parse(readRoot(`examples/deployments/${name}.json`)) as unknown[];
    expect(deployment).toHaveLength(21);
    for (const settings of deployment) {
      expect(checkSettings(JSON.stringify(settings)).isRight()).toBe(true);
    }
  });

  it('are refused with the path of what is missing', () => {
    const error = checkSettings('{"role":"entry","listen":{"host":"localhost"}}').swap();
    const paths = error.unsafeCoerce().problems.map(({ path }) => path);
    expect(paths).toContain('$.instanceId');
    expect(paths).toContain('$.listen.host');
    expect(paths).toContain('$.listen.callerPort');
  });
});

describe('differences', () => {
  it('name elements instead of positions', () => {
    const before = {
      accounts: [
        { name: 'a', weight: 1 },
        { name: 'b', weight: 1 },
      ],
    };
    const after = {
      accounts: [
        { name: 'b', weight: 2 },
        { name: 'c', weight: 1 },
      ],
    };
    const kinds = diffDocuments(before, after).map(({ kind, path }) => `${kind} ${path}`);
    expect(kinds.sort()).toEqual([
      `${DifferenceKind.Added} $.accounts[c]`,
      `${DifferenceKind.Changed} $.accounts[b].weight`,
      `${DifferenceKind.Removed} $.accounts[a]`,
    ]);
  });
});

describe('the committed JSON Schemas', () => {
  it.each(Object.entries(jsonSchemas()))('%s is up to date', (fileName, schema) => {
    expect(JSON.parse(readRoot(`schemas/${fileName}`))).toEqual(JSON.parse(JSON.stringify(schema)));
  });
});
