/**
 * Reads the body of a caller's request.
 */
import type { IncomingMessage } from 'node:http';

/** Reads the body; undefined when it exceeds the limit. Rejects when the caller disconnects. */
export function readBody(
  incoming: IncomingMessage,
  maximumBytes: number,
): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maximumBytes) resolve(undefined);
      else chunks.push(chunk);
    });
    incoming.on('end', () => resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)));
    incoming.on('error', reject);
    incoming.on('close', () =>
      reject(new Error('the caller disconnected before its request was complete')),
    );
  });
}
