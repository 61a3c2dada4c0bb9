/**
 * Reads a request body within a size limit.
 */
import type { IncomingMessage } from 'node:http';

import { LapisError, ResultCode } from '@lapisbridge/errors';

export async function readBody(request: IncomingMessage, maximumBytes: number): Promise<Buffer> {
  const tooLarge = new LapisError(
    ResultCode.BodyTooLarge,
    `the body is larger than ${maximumBytes} bytes`,
  );
  if (Number(request.headers['content-length'] ?? 0) > maximumBytes) throw tooLarge;
  const pieces: Buffer[] = [];
  let length = 0;
  for await (const piece of request) {
    length += (piece as Buffer).length;
    if (length > maximumBytes) throw tooLarge;
    pieces.push(piece as Buffer);
  }
  return Buffer.concat(pieces, length);
}
