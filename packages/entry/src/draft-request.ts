/**
 * Checks the body of a chat completion before anything is sent on.
 */
import { z } from 'zod';

import { parseJson } from './parse-json.js';

const message = z.looseObject({
  role: z.string().min(1),
  content: z.union([z.string(), z.array(z.unknown())]),
});

const draftSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(message).min(1),
  max_tokens: z.int().min(1).optional(),
  stream: z.boolean().optional(),
});

export type DraftBody = z.infer<typeof draftSchema>;

export function parseDraft(bytes: Buffer): DraftBody {
  return parseJson(draftSchema, bytes, 'the chat completion is not valid');
}

/** Leading text of the prompt, which requests with a shared preamble have in common. */
export function affinityKey(body: DraftBody, characters: number): string {
  if (characters === 0) return '';
  let text = '';
  for (const { role, content } of body.messages) {
    text += `${role}\u0000${typeof content === 'string' ? content : JSON.stringify(content)}`;
    if (text.length >= characters) break;
  }
  return `${body.model}\u0000${text.slice(0, characters)}`;
}
