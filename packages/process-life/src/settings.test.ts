import { describe, expect, it } from 'vitest';

import { parseSettings, SettingsError } from './settings.js';

const VALID = {
  instanceId: 'entry',
  host: '10.0.0.1',
  availabilityZone: 'zone',
  peerPort: 7100,
  metricsPort: 7101,
  storeAddress: '10.0.0.9:7000',
  graceSeconds: 8,
  configurationBoundMilliseconds: 2000,
  drainingBoundMilliseconds: 2000,
  retryRatio: 0.2,
  retrySlack: 90,
  retryWindowSeconds: 10,
};

function parse(change: Readonly<Record<string, unknown>>): ReturnType<typeof parseSettings> {
  return parseSettings(Buffer.from(JSON.stringify({ ...VALID, ...change })));
}

describe('the limit on duplicates in the settings', () => {
  it('is absent when no ratio is set', () => {
    expect(parse({}).hedgeLimit).toBeUndefined();
    expect(parse({ hedgeWindowSeconds: 60 }).hedgeLimit).toBeUndefined();
  });

  it('holds over the window of the retries unless it names its own', () => {
    const ratio = 0.05;
    expect(parse({ hedgeRatio: ratio }).hedgeLimit).toEqual({ ratio, windowMilliseconds: 10_000 });
    const own = parse({ hedgeRatio: ratio, hedgeWindowSeconds: 60 });
    expect(own.hedgeLimit).toEqual({ ratio, windowMilliseconds: 60_000 });
  });

  it.each([0, 1])('may be %d', (ratio) => {
    expect(parse({ hedgeRatio: ratio }).hedgeLimit?.ratio).toBe(ratio);
  });

  it.each<[Readonly<Record<string, unknown>>, RegExp]>([
    [{ hedgeRatio: 1.5 }, /hedgeRatio must be between 0 and 1, and is 1\.5/],
    [{ hedgeRatio: -0.1 }, /hedgeRatio must be between 0 and 1, and is -0\.1/],
    [{ hedgeRatio: '5%' }, /hedgeRatio must be a number, and is "5%"/],
    [{ hedgeRatio: null }, /hedgeRatio must be a number, and is null/],
    [{ hedgeRatio: 0.1, hedgeWindowSeconds: 0 }, /hedgeWindowSeconds must be more than 0/],
    [{ hedgeRatio: 0.1, hedgeWindowSeconds: 'long' }, /hedgeWindowSeconds must be a number/],
  ])('is rejected with what is wrong: %j', (change, message) => {
    expect(() => parse(change)).toThrow(SettingsError);
    expect(() => parse(change)).toThrow(message);
  });
});

describe('the size of the machine in the settings', () => {
  it('is detected where the settings state none', () => {
    expect(parse({}).memoryMegabytes).toBeUndefined();
    expect(parse({ memoryMegabytes: null }).memoryMegabytes).toBeUndefined();
    expect(parse({ maximumDescriptors: 4200 }).maximumDescriptors).toBe(4200);
  });

  it.each<[Readonly<Record<string, unknown>>, RegExp]>([
    [{ memoryMegabytes: 0 }, /memoryMegabytes must be more than 0, and is 0/],
    [{ maximumDescriptors: 'many' }, /maximumDescriptors must be a number, and is "many"/],
  ])('is rejected with what is wrong: %j', (change, message) => {
    expect(() => parse(change)).toThrow(message);
  });
});
