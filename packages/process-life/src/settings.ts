/**
 * Settings of one process. The platform fills the template in `deploy/` in with what it knows
 * and names the file in an environment variable; the names in it are our own. Unknown fields
 * are ignored, since the template may be older or newer than the program.
 */
import { readFileSync } from 'node:fs';

import { numberOf, parseAddress, parseObject, textOf } from '@lapisbridge/json-call';
import type { Address, JsonObject } from '@lapisbridge/json-call';

export interface HedgeSettings {
  /** Largest share of a service's requests in the window that may be sent twice, 0 to 1. */
  readonly ratio: number;
  readonly windowMilliseconds: number;
}

export interface ProcessSettings {
  readonly instanceId: string;
  readonly host: string;
  readonly availabilityZone: string;
  /** Service of the backend server on the same machine; undefined on others. */
  readonly service: string | undefined;
  /** Where callers connect; undefined on instances beside a backend server. */
  readonly callerAddress: Address | undefined;
  readonly readinessAddress: Address | undefined;
  /** The backend server on the same machine; undefined on others. */
  readonly backendServerAddress: Address | undefined;
  /** Same on all instances. */
  readonly peerPort: number;
  readonly metricsPort: number;
  readonly seedHosts: readonly string[];
  readonly storeAddress: Address;
  /** Time from SIGTERM to the end. */
  readonly graceMilliseconds: number;
  /** Time within which an accepted configuration must be in force. */
  readonly configurationBoundMilliseconds: number;
  /** Time within which a backend server that is leaving gets no more work. */
  readonly drainingBoundMilliseconds: number;
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMilliseconds: number;
  /** Memory of the machine at which the process is ended; detected if undefined. */
  readonly memoryMegabytes?: number | undefined;
  /** Descriptors that the process may have open; detected if undefined. */
  readonly maximumDescriptors?: number | undefined;
  /** Limit on duplicates of late requests; undefined where operators have set none. */
  readonly hedgeLimit?: HedgeSettings | undefined;
}

/** Names the settings file and what is wrong in it. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}

export const SETTINGS_VARIABLE = 'LAPISBRIDGE_SETTINGS';

function needText(object: JsonObject, name: string): string {
  const value = textOf(object, name);
  if (value === undefined) throw new SettingsError(`${name} is missing; it must be a text`);
  return value;
}

function needNumber(object: JsonObject, name: string): number {
  const value = numberOf(object, name);
  if (value === undefined) throw new SettingsError(`${name} is missing; it must be a number`);
  return value;
}

function optionalNumber(object: JsonObject, name: string): number | undefined {
  if (object[name] === undefined) return undefined;
  const value = numberOf(object, name);
  if (value !== undefined) return value;
  throw new SettingsError(`${name} must be a number, and is ${JSON.stringify(object[name])}`);
}

/** A limit of the machine; the platform states null where it has none. */
function optionalSize(object: JsonObject, name: string): number | undefined {
  if (object[name] === null) return undefined;
  const value = optionalNumber(object, name);
  if (value === undefined || value > 0) return value;
  throw new SettingsError(
    `${name} must be more than 0, and is ${value}; leave it out to detect it`,
  );
}

function optionalHedgeLimit(object: JsonObject): HedgeSettings | undefined {
  const ratio = optionalNumber(object, 'hedgeRatio');
  const seconds = optionalNumber(object, 'hedgeWindowSeconds');
  if (ratio !== undefined && !(ratio >= 0 && ratio <= 1)) {
    throw new SettingsError(
      `hedgeRatio must be between 0 and 1, and is ${ratio}; leave it out for no hedging limit`,
    );
  }
  if (seconds !== undefined && !(seconds > 0)) {
    throw new SettingsError(
      `hedgeWindowSeconds must be more than 0, and is ${seconds}; without it retryWindowSeconds holds`,
    );
  }
  if (ratio === undefined) return undefined;
  return {
    ratio,
    windowMilliseconds: (seconds ?? needNumber(object, 'retryWindowSeconds')) * 1000,
  };
}

function optionalAddress(object: JsonObject, name: string): Address | undefined {
  const text = textOf(object, name);
  if (text === undefined) return undefined;
  const address = parseAddress(text);
  if (address === undefined) throw new SettingsError(`${name} must be IP:PORT, and is "${text}"`);
  return address;
}

export function parseSettings(bytes: Buffer): ProcessSettings {
  const object = parseObject(bytes);
  if (object === undefined) throw new SettingsError('the settings are not a JSON object');
  const storeAddress = optionalAddress(object, 'storeAddress');
  if (storeAddress === undefined) throw new SettingsError('storeAddress is missing: IP:PORT');
  const seeds = (textOf(object, 'seedAddresses') ?? '').split(',');
  const seedHosts: string[] = [];
  for (const seed of seeds) {
    const address = parseAddress(seed.trim());
    if (address !== undefined) seedHosts.push(address.host);
  }
  return {
    instanceId: needText(object, 'instanceId'),
    host: needText(object, 'host'),
    availabilityZone: needText(object, 'availabilityZone'),
    service: textOf(object, 'service'),
    callerAddress: optionalAddress(object, 'callerAddress'),
    readinessAddress: optionalAddress(object, 'readinessAddress'),
    backendServerAddress: optionalAddress(object, 'backendServerAddress'),
    peerPort: needNumber(object, 'peerPort'),
    metricsPort: needNumber(object, 'metricsPort'),
    seedHosts,
    storeAddress,
    graceMilliseconds: needNumber(object, 'graceSeconds') * 1000,
    configurationBoundMilliseconds: needNumber(object, 'configurationBoundMilliseconds'),
    drainingBoundMilliseconds: needNumber(object, 'drainingBoundMilliseconds'),
    retryRatio: needNumber(object, 'retryRatio'),
    retrySlack: needNumber(object, 'retrySlack'),
    retryWindowMilliseconds: needNumber(object, 'retryWindowSeconds') * 1000,
    memoryMegabytes: optionalSize(object, 'memoryMegabytes'),
    maximumDescriptors: optionalSize(object, 'maximumDescriptors'),
    hedgeLimit: optionalHedgeLimit(object),
  };
}

export function readSettings(): ProcessSettings {
  const file = process.env[SETTINGS_VARIABLE];
  if (file === undefined) throw new SettingsError(`${SETTINGS_VARIABLE} names no file`);
  return parseSettings(readFileSync(file));
}
