/**
 * Reads the body of a request within its own limit and the budget of all bodies. Chunks are copied
 * into one buffer, since a chunk costs an object whatever its size.
 */
import type { IncomingMessage } from 'node:http';

import { createChunkCollector } from '@lapisbridge/kernel';

import type { BodyAccount, BodyBudget, BodyExpectation } from './body-budget.js';
import { createReadingSwitch } from './reading-switch.js';
import type { TurnQueue } from './turn-queue.js';

export enum BodyEndKind {
  Complete = 'complete',
  TooLarge = 'tooLarge',
  /** All clients together hold too much; the request has not run. */
  Refused = 'refused',
  /** Incomplete when its client no longer waited for a response. */
  Expired = 'expired',
}

export type BodyEnd =
  | {
      readonly kind: BodyEndKind.Complete;
      readonly bytes: Buffer;
      /** Must be called when the bytes are no longer needed. */
      release(): void;
    }
  | { readonly kind: BodyEndKind.TooLarge | BodyEndKind.Refused | BodyEndKind.Expired };

export interface BodyOptions extends Omit<BodyExpectation, 'expectedBytes'> {
  /** Limit for this body. */
  readonly maximumBytes: number;
}

export interface BodyReaderParts {
  readonly budget: BodyBudget;
  readonly turns: TurnQueue;
}

/** Chunks after which the cost of a body is looked at. */
const CHUNKS_PER_CHECK = 256;
/** Smaller chunks on average take more time for each byte than others may be kept waiting. */
const SMALL_CHUNK_BYTES = 512;

function announcedBytes({ headers }: IncomingMessage): number | undefined {
  const length = headers['content-length'];
  return length === undefined ? undefined : Number(length);
}

/** Whether the head announces a body. */
function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** Rejects when the client disconnects before the body is complete. */
export function readBody(
  incoming: IncomingMessage,
  options: BodyOptions,
  { budget, turns }: BodyReaderParts,
): Promise<BodyEnd> {
  return new Promise((resolve, reject) => {
    const announced = announcedBytes(incoming);
    const collector = createChunkCollector(announced ?? options.maximumBytes);
    const reading = createReadingSwitch(incoming);
    let account: BodyAccount | undefined;
    let isEnded = false;
    let isPaused = false;
    let isYielding = false;
    let chunks = 0;
    let receivedBytes = 0;
    let checkedBytes = 0;
    /** The whole body, if it came in one chunk. */
    let onlyChunk: Buffer | undefined;

    function end(kind: Exclude<BodyEndKind, BodyEndKind.Complete>): void {
      if (isEnded) return;
      isEnded = true;
      isPaused = false;
      account?.close();
      collector.take();
      // The rest is discarded.
      if (!isYielding) reading.resume();
      resolve({ kind });
    }

    /** Lets others run after many small chunks: what is read at a time can hold ten thousand. */
    function yieldTurn(): void {
      const isCostly = receivedBytes - checkedBytes < CHUNKS_PER_CHECK * SMALL_CHUNK_BYTES;
      checkedBytes = receivedBytes;
      if (!isCostly || isYielding) return;
      isYielding = true;
      reading.stop();
      turns.add(() => {
        isYielding = false;
        if (!isPaused) reading.resume();
      });
    }

    const control = {
      pause() {
        isPaused = true;
        reading.stop();
      },
      resume() {
        isPaused = false;
        if (!isYielding) reading.resume();
      },
      refuse: () => end(BodyEndKind.Refused),
      expire: () => end(BodyEndKind.Expired),
    };

    function collect(chunk: Buffer): void {
      if (receivedBytes > options.maximumBytes) {
        end(BodyEndKind.TooLarge);
      } else if (chunk.length === announced) {
        onlyChunk = chunk;
        account?.grow(chunk.length, chunk.length);
      } else {
        collector.append(chunk);
        account?.grow(collector.length(), collector.capacity());
      }
    }

    function onData(chunk: Buffer): void {
      receivedBytes += chunk.length;
      chunks += 1;
      if (!isEnded) collect(chunk);
      if (chunks % CHUNKS_PER_CHECK === 0) yieldTurn();
    }

    function onEnd(): void {
      if (isEnded) return;
      isEnded = true;
      isPaused = false;
      if (!isYielding) reading.resume();
      const bytes = onlyChunk ?? collector.take();
      account?.complete(bytes.length);
      resolve({ kind: BodyEndKind.Complete, bytes, release: () => account?.close() });
    }

    incoming.on('data', onData);
    incoming.on('end', onEnd);
    incoming.on('error', fail);
    incoming.on('close', () =>
      fail(new Error('the caller disconnected before its request was complete')),
    );

    function fail(error: Error): void {
      if (!isEnded) {
        isEnded = true;
        account?.close();
        collector.take();
      }
      reject(error);
    }

    if (announced !== undefined && announced > options.maximumBytes) end(BodyEndKind.TooLarge);
    else if (hasBody(incoming)) {
      account = budget.open(control, {
        ...options,
        expectedBytes: announced ?? options.maximumBytes,
      });
    }
  });
}
