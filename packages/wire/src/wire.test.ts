/**
 * Frames and channels.
 */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import fc from 'fast-check';
import { afterEach, describe, expect, it } from 'vitest';

import {
  CloseReason,
  createFrameReader,
  dial,
  encodeFrame,
  MAXIMUM_FRAME_BYTES,
  MessageKind,
  openChannel,
} from './index.js';
import type { Message } from './index.js';

const EMPTY_HEARTBEAT = { heartbeat: () => ({ stateDigest: '' }) };
const servers: Server[] = [];
const sockets: Socket[] = [];

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const server of servers.splice(0)) server.close();
});

function listen(onSocket: (socket: Socket) => void): Promise<number> {
  const server = createServer((socket) => {
    sockets.push(socket);
    onSocket(socket);
  });
  servers.push(server);
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port));
  });
}

describe('frames', () => {
  it('decode to the encoded messages, however the bytes are split', () => {
    const chunks = fc.array(
      fc.record({ offset: fc.nat(), text: fc.string({ unit: 'binary' }), tokens: fc.nat() }),
    );
    fc.assert(
      fc.property(chunks, fc.infiniteStream(fc.integer({ min: 1, max: 40 })), (given, sizes) => {
        const messages = given.map((chunk): Message => ({
          kind: MessageKind.Chunk,
          requestId: 'r',
          attempt: 1,
          ...chunk,
        }));
        const bytes = Buffer.concat(messages.map(encodeFrame));
        const reader = createFrameReader();
        const read: Message[] = [];
        for (let position = 0; position < bytes.length;) {
          const size = sizes.next().value as number;
          read.push(...reader.push(bytes.subarray(position, position + size)));
          position += size;
        }
        expect(read).toEqual(messages);
      }),
    );
  });

  it('rejects an oversized frame before allocating memory for it', () => {
    // An unrelated program sends bytes that decode to a huge length. Without a bound this process
    // would buffer gigabytes and run out of memory.
    const frame = Buffer.alloc(4);
    frame.writeUInt32BE(MAXIMUM_FRAME_BYTES + 1);
    expect(() => createFrameReader().push(frame)).toThrow(RangeError);
  });
});

describe('a channel', () => {
  it('is closed as silent when its peer stops sending', async () => {
    // A network device dropped the state of the connection, which stays open and silent.
    // Requests on it would hang until their deadline although a new connection would work.
    const port = await listen(() => undefined);
    const socket = await dial('127.0.0.1', port);
    sockets.push(socket);
    const reason = await new Promise<CloseReason>((resolve) => {
      const handlers = { onMessage: () => undefined, onClose: resolve, ...EMPTY_HEARTBEAT };
      const options = { silenceTimeoutMilliseconds: 150, heartbeatIntervalMilliseconds: 50 };
      openChannel(socket, handlers, options).acquire();
    });
    expect(reason).toBe(CloseReason.PeerSilent);
  });

  it('stays open while idle, although its peer sends fewer heartbeats than a busy one', async () => {
    // Both ends are idle, so the peer sends heartbeats at a fifth of the busy rate. The busy
    // timeout would close and reopen every idle connection continually.
    const port = await listen((socket) => {
      openChannel(
        socket,
        { onMessage: () => undefined, onClose: () => undefined, ...EMPTY_HEARTBEAT },
        { heartbeatIntervalMilliseconds: 50 },
      );
    });
    const socket = await dial('127.0.0.1', port);
    sockets.push(socket);
    let beats = 0;
    const closed: CloseReason[] = [];
    await new Promise<void>((resolve) => {
      const handlers = {
        onMessage() {
          beats += 1;
          if (beats === 3) resolve();
        },
        onClose: (reason: CloseReason) => void closed.push(reason),
        ...EMPTY_HEARTBEAT,
      };
      openChannel(socket, handlers, {
        silenceTimeoutMilliseconds: 150,
        heartbeatIntervalMilliseconds: 50,
      });
    });
    expect(closed).toEqual([]);
  });

  it('is closed on an invalid frame', async () => {
    const port = await listen((socket) => socket.write(Buffer.alloc(8, 0xff)));
    const socket = await dial('127.0.0.1', port);
    sockets.push(socket);
    const reason = await new Promise<CloseReason>((resolve) => {
      openChannel(socket, { onMessage: () => undefined, onClose: resolve, ...EMPTY_HEARTBEAT });
    });
    expect(reason).toBe(CloseReason.InvalidFrame);
  });

  it('carries messages in both directions', async () => {
    const port = await listen((socket) => {
      const channel = openChannel(socket, {
        onMessage: () => channel.send({ kind: MessageKind.Goodbye }),
        onClose: () => undefined,
        ...EMPTY_HEARTBEAT,
      });
    });
    const socket = await dial('127.0.0.1', port);
    sockets.push(socket);
    const kind = await new Promise<MessageKind>((resolve) => {
      const channel = openChannel(socket, {
        onMessage: (message) => resolve(message.kind),
        onClose: () => undefined,
        ...EMPTY_HEARTBEAT,
      });
      channel.send({ kind: MessageKind.StateRequest });
    });
    expect(kind).toBe(MessageKind.Goodbye);
  });
});
