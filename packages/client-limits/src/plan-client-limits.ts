/**
 * Divides a machine among what clients may hold of a process. Memory outside of the heap goes to
 * bodies and heads, the heap to connections and requests, and descriptors to connections of clients
 * and to those that are opened for them. Pure.
 */
import type { MachineSize } from './machine-size.js';

/** What all clients together may hold; sizes are in bytes. */
export interface ClientLimits {
  readonly connections: number;
  /** Connections that other instances have opened. */
  readonly instanceConnections: number;
  /** Requests from their head until their response has left. */
  readonly requests: number;
  /** Pipelined requests of one connection. */
  readonly requestsPerConnection: number;
  /** Bodies of requests, from their first byte until their request has ended. */
  readonly bodyBytes: number;
  /** Part of `bodyBytes` beyond which only small bodies are read on. */
  readonly largeBodyBytes: number;
  /** Bodies that are not read on while too many bytes are held. */
  readonly pausedBodies: number;
  /** Received parts of heads that are not complete. */
  readonly headBytes: number;
}

const MEBIBYTE = 1024 * 1024;
/** Resident size of a process that serves nobody. */
const RUNTIME_BYTES = 80 * MEBIBYTE;
/** Buffers that are no longer used, until V8 collects them. */
const UNCOLLECTED_BYTES = 64 * MEBIBYTE;
const BODY_SHARE = 0.4;
const HEAD_SHARE = 0.1;
const MINIMUM_BODY_BYTES = 8 * MEBIBYTE;
const MAXIMUM_BODY_BYTES = 256 * MEBIBYTE;
const MINIMUM_HEAD_BYTES = 2 * MEBIBYTE;
const MAXIMUM_HEAD_BYTES = 64 * MEBIBYTE;
const LARGE_BODY_SHARE = 0.6;
/** Beyond that part: one largest body, and what is still received of those that are paused. */
const FAVOURED_BODY_BYTES = 4 * MEBIBYTE;
const PAUSED_BODY_BYTES = 64 * 1024;
const MINIMUM_PAUSED_BODIES = 8;

/** Descriptors for files, and those for the store, other instances, readiness and metrics. */
const FILE_DESCRIPTORS = 200;
const OWN_DESCRIPTOR_SHARE = 0.15;
const CONNECTION_DESCRIPTOR_SHARE = 0.45;
/** Part of those for other instances that they may open themselves. */
const INSTANCE_DESCRIPTOR_SHARE = 0.1;
/** Connections to backend servers that a request may have open: few are sent twice. */
const DESCRIPTORS_PER_REQUEST = 1.5;

/** Heap that an idle connection and a request under way take. */
const CONNECTION_HEAP_BYTES = 8 * 1024;
const REQUEST_HEAP_BYTES = 64 * 1024;
const CONNECTION_HEAP_SHARE = 0.125;
const REQUEST_HEAP_SHARE = 0.5;

const MINIMUM_CONNECTIONS = 32;
const MINIMUM_INSTANCE_CONNECTIONS = 16;
const MINIMUM_REQUESTS = 16;
const REQUESTS_PER_CONNECTION = 32;

function within(minimum: number, value: number, maximum: number): number {
  return Math.floor(Math.min(Math.max(value, minimum), maximum));
}

export function planClientLimits(machine: MachineSize): ClientLimits {
  const { memoryBytes, maximumDescriptors, heapBytes } = machine;
  const freeBytes = memoryBytes - RUNTIME_BYTES - UNCOLLECTED_BYTES;
  const bodyBytes = within(MINIMUM_BODY_BYTES, freeBytes * BODY_SHARE, MAXIMUM_BODY_BYTES);
  const descriptors = maximumDescriptors - FILE_DESCRIPTORS;
  const connectionDescriptors = descriptors * CONNECTION_DESCRIPTOR_SHARE;
  const requestDescriptors = descriptors * (1 - OWN_DESCRIPTOR_SHARE - CONNECTION_DESCRIPTOR_SHARE);
  return {
    connections: Math.max(
      MINIMUM_CONNECTIONS,
      Math.floor(
        Math.min(
          connectionDescriptors,
          (heapBytes * CONNECTION_HEAP_SHARE) / CONNECTION_HEAP_BYTES,
        ),
      ),
    ),
    instanceConnections: Math.max(
      MINIMUM_INSTANCE_CONNECTIONS,
      Math.floor(descriptors * INSTANCE_DESCRIPTOR_SHARE),
    ),
    requests: Math.max(
      MINIMUM_REQUESTS,
      Math.floor(
        Math.min(
          requestDescriptors / DESCRIPTORS_PER_REQUEST,
          (heapBytes * REQUEST_HEAP_SHARE) / REQUEST_HEAP_BYTES,
        ),
      ),
    ),
    requestsPerConnection: REQUESTS_PER_CONNECTION,
    bodyBytes,
    largeBodyBytes: Math.floor(bodyBytes * LARGE_BODY_SHARE),
    pausedBodies: Math.max(
      MINIMUM_PAUSED_BODIES,
      Math.floor((bodyBytes * (1 - LARGE_BODY_SHARE) - FAVOURED_BODY_BYTES) / PAUSED_BODY_BYTES),
    ),
    headBytes: within(MINIMUM_HEAD_BYTES, freeBytes * HEAD_SHARE, MAXIMUM_HEAD_BYTES),
  };
}
