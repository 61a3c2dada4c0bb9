/**
 * Frames: a length of four bytes (big-endian), then a CBOR body. The length is bounded, so that
 * a faulty or hostile peer cannot make this process allocate unlimited memory.
 */
import { createChunkCollector } from '@lapisbridge/kernel';
import { Encoder } from 'cbor-x';

import type { Message } from './messages.js';

const LENGTH_BYTES = 4;

/** Maximum frame body in bytes: the largest document or request body plus its envelope. */
export const MAXIMUM_FRAME_BYTES = 17 * 1024 * 1024;

const codec = new Encoder({ useRecords: false, tagUint8Array: false });

export function encodeFrame(message: Message): Buffer {
  const body = codec.encode(message);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

export interface FrameReader {
  /** Returns the messages that `bytes` completes. Throws `RangeError` on an oversized frame. */
  push(bytes: Buffer): readonly Message[];
  /** Memory that an incomplete frame occupies. */
  heldBytes(): number;
}

export function createFrameReader(): FrameReader {
  let partial = createChunkCollector(LENGTH_BYTES);
  let requiredBytes = LENGTH_BYTES;

  /** Returns the position after the last complete frame. */
  function decodeCompleteFrames(buffer: Buffer, messages: Message[]): number {
    let position = 0;
    while (buffer.length - position >= LENGTH_BYTES) {
      const length = buffer.readUInt32BE(position);
      if (length > MAXIMUM_FRAME_BYTES)
        throw new RangeError(`frame of ${length} bytes exceeds the maximum size`);
      const end = position + LENGTH_BYTES + length;
      if (end > buffer.length) {
        requiredBytes = end - position;
        return position;
      }
      messages.push(codec.decode(buffer.subarray(position + LENGTH_BYTES, end)) as Message);
      position = end;
    }
    requiredBytes = LENGTH_BYTES;
    return position;
  }

  return {
    push(bytes) {
      const messages: Message[] = [];
      const heldBytes = partial.length();
      if (heldBytes > 0) partial.append(bytes);
      if (heldBytes + bytes.length < requiredBytes) {
        if (heldBytes === 0) partial.append(bytes);
        return messages;
      }
      const buffer = heldBytes > 0 ? partial.take() : bytes;
      const position = decodeCompleteFrames(buffer, messages);
      partial = createChunkCollector(requiredBytes);
      if (position < buffer.length) partial.append(buffer.subarray(position));
      return messages;
    },
    heldBytes: () => partial.capacity(),
  };
}
