/**
 * What a sidecar does at the edges of a continued draft.
 */
import { createAnswerBuffer } from '@lapisbridge/answers';
import { MessageKind } from '@lapisbridge/wire';
import type { Channel, Chunk, DraftStart, Message } from '@lapisbridge/wire';
import { describe, expect, it } from 'vitest';

import { attachReader, pump } from './draft-run.js';
import type { Run } from './draft-run.js';
import { createEngineClient, EngineOutcomeKind } from './engine-client.js';

const NO_LOAD = (): never => {
  throw new Error('no load is needed');
};

describe('a continued draft', () => {
  it('ends at once when the caller already has all tokens it allowed', async () => {
    // An engine broke off between the last token and its end mark. Asking another engine to go on
    // gave one token more than the caller allowed, and the answer was not its own any more.
    const engine = createEngineClient('http://127.0.0.1:1');
    const outcome = await engine.stream({
      body: { messages: [], max_tokens: 2 },
      deliveredText: 'one two ',
      deliveredTokens: 2,
      priority: 5,
      silenceMilliseconds: 1000,
      signal: new AbortController().signal,
      onText: () => undefined,
    });
    engine.close();
    expect(outcome).toEqual({ kind: EngineOutcomeKind.Complete, finishReason: 'length' });
  });
});

describe('the tokens told with a piece', () => {
  it('are those the reader has, not those that are generated', () => {
    // A caller reads slowly while the engine runs ahead, and the engine dies. Counted by what was
    // generated, the answer would go on elsewhere with too few tokens and end early as if whole.
    const sent: Chunk[] = [];
    const channel: Channel = {
      closed: false,
      send(message: Message) {
        if (message.kind === MessageKind.Chunk) sent.push(message);
      },
      sendHeartbeat: () => undefined,
      acquire: () => undefined,
      release: () => undefined,
      close: () => undefined,
      abort: () => undefined,
    };
    const buffer = createAnswerBuffer('account', 'zero ');
    const run: Run = {
      start: { requestId: 'r', deliveredTokens: 1 } as DraftStart,
      buffer,
      abort: new AbortController(),
      owner: 'entry',
      reader: undefined,
      tokenEnds: [],
      failure: undefined,
      orphanTimer: undefined,
    };
    for (const token of ['one ', 'two ', 'three ']) {
      buffer.append(token);
      run.tokenEnds.push(buffer.length);
    }
    attachReader(run, { channel, attempt: 1, offset: 5, passedTokens: 0, credit: 4 });
    pump(run, NO_LOAD);
    expect(sent.map(({ text, tokens }) => [text, tokens])).toEqual([['one ', 2]]);
  });
});
