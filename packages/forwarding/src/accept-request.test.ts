import { RequestKind } from '@lapisbridge/catalog';
import type { Configuration, Route } from '@lapisbridge/catalog';
import { describe, expect, it } from 'vitest';

import { AdmissionKind, Impropriety, planAdmission } from './accept-request.js';
import type { CallerRequest } from './caller-protocol.js';

function routeWith(prefix: string, service: string): Route {
  return {
    name: prefix,
    host: 'host',
    prefix,
    kind: RequestKind.Idempotent,
    timeoutMilliseconds: 800,
    latencyObjectiveMilliseconds: 100,
    eventGapObjectiveMilliseconds: 0,
    priority: 1,
    targets: [{ service, weight: 1 }],
    maximumAttempts: 2,
    isPublic: false,
    resumable: false,
  };
}

const CONFIGURATION: Configuration = {
  version: 3,
  routes: [routeWith('/a/', 'short'), routeWith('/a/b/', 'long')],
  services: new Map(),
  accountsByKey: new Map([['key', { name: 'account', priority: 2 }]]),
  limits: {
    maximumBodyBytes: 1000,
    headerTimeoutMilliseconds: 1000,
    idleTimeoutMilliseconds: 1000,
  },
};

const REQUEST: CallerRequest = {
  requestId: 'request',
  method: 'GET',
  host: 'host',
  target: '/a/b/c?query=/x/',
  key: 'key',
  patienceMilliseconds: 500,
  lastEventId: undefined,
  promptTokens: 0,
  headers: [],
};

function admit(request: Partial<CallerRequest>, isOutdated = false) {
  return planAdmission({
    configuration: CONFIGURATION,
    isOutdated,
    request: { ...REQUEST, ...request },
    share: 0.5,
  });
}

describe('accepting a request', () => {
  it('takes the longest prefix, and ends at its timeout or before its caller leaves', () => {
    // Guards against an answer that is sent when its caller has left, and against work for nobody.
    expect(admit({})).toMatchObject({
      kind: AdmissionKind.Accepted,
      service: 'long',
      timeoutMilliseconds: 450,
      account: { name: 'account' },
    });
    expect(admit({ patienceMilliseconds: 9000 })).toMatchObject({ timeoutMilliseconds: 800 });
  });

  it('says what is wrong with a request', () => {
    expect(admit({ target: '/z/' })).toMatchObject({ fault: Impropriety.NoRoute });
    expect(admit({ key: 'other' })).toMatchObject({ fault: Impropriety.UnknownKey });
    expect(admit({ requestId: undefined })).toMatchObject({ fault: Impropriety.NoRequestId });
  });

  it('denies nothing on knowledge that may be outdated', () => {
    // The store turns this instance away while operators add a key. Told 401, the customer would
    // not ask again, although every other instance lets it in.
    expect(admit({ key: 'other' }, true)).toEqual({ kind: AdmissionKind.NotKnown });
    expect(admit({ target: '/z/' }, true)).toEqual({ kind: AdmissionKind.NotKnown });
  });
});
