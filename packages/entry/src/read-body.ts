/**
 * Reads a request body within a size limit.
 */
import type { IncomingMessage } from 'node:http';

import { LapisError, ResultCode } from '@lapisbridge/errors';

function tooLarge(maximumBytes: number): LapisError {
  const message = `the body is larger than ${maximumBytes} bytes`;
  return new LapisError(ResultCode.BodyTooLarge, message);
}

export async function readBody(request: IncomingMessage, maximumBytes: number): Promise<Buffer> {
  if (Number(request.headers['content-length'] ?? 0) > maximumBytes) throw tooLarge(maximumBytes);
  const pieces: Buffer[] = [];
  let length = 0;
  for await (const piece of request) {
    length += (piece as Buffer).length;
    if (length > maximumBytes) throw tooLarge(maximumBytes);
    pieces.push(piece as Buffer);
  }
  return Buffer.concat(pieces, length);
}
