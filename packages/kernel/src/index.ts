/**
 * A micro-kernel. Services register under a name, find each other by it, start in the
 * order of registration and stop in the reverse order. Time and randomness come from
 * here, so that decisions can be repeated with a seed.
 */
import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand';

/** Something with a life within the process. */
export interface Service {
  start?(): Promise<void> | void;
  stop?(): Promise<void> | void;
}

export interface Kernel {
  register<T extends Service>(name: string, service: T): T;
  /** Finds a service by name; throws when it is absent, which is a wiring mistake. */
  find<T extends Service>(name: string): T;
  /** Starts the services in turn, until `stop` is called. */
  start(): Promise<void>;
  stop(): Promise<void>;
}

export function createKernel(): Kernel {
  const services = new Map<string, Service>();
  const started: Service[] = [];
  let isStopped = false;
  return {
    register(name, service) {
      if (services.has(name)) throw new Error(`service ${name} is registered twice`);
      services.set(name, service);
      return service;
    },
    find<T extends Service>(name: string): T {
      const service = services.get(name);
      if (service === undefined) throw new Error(`no service is named ${name}`);
      return service as T;
    },
    async start() {
      for (const service of services.values()) {
        if (isStopped) return;
        await service.start?.();
        started.push(service);
      }
    },
    async stop() {
      isStopped = true;
      for (const service of started.splice(0).reverse()) {
        await service.stop?.();
      }
    },
  };
}

/** Milliseconds on a clock that never jumps. */
export type MonotonicClock = () => number;

export const monotonicClock: MonotonicClock = () => performance.now();

/** Uniform numbers in [0, 1). */
export type Random = () => number;

const RANDOM_RANGE = 0x7fffffff;

/** A seeded generator: the same seed gives the same decisions. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => unsafeUniformIntDistribution(0, RANDOM_RANGE - 1, generator) / RANDOM_RANGE;
}

/** Resolves after the given time; for pauses between retries, never for ordering. */
export function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
export { pickSome } from './pick-some.js';
export { createChunkCollector } from './chunk-collector.js';
export type { ChunkCollector } from './chunk-collector.js';
export { createConnectionDrain } from './connection-drain.js';
export type { ConnectionDrain, TrackedConnection } from './connection-drain.js';
