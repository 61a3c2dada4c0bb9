/**
 * Checks the body of a chat completion before anything is sent on.
 */
import { LapisError, ResultCode } from '@lapisbridge/errors';
import { z } from 'zod';

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

export function parseJsonBody(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8')) as unknown;
  } catch {
    throw new LapisError(ResultCode.MalformedJson, 'the body is not JSON');
  }
}

export function parseDraft(bytes: Buffer): DraftBody {
  const parsed = draftSchema.safeParse(parseJsonBody(bytes));
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map((issue) => ({
    path: ['$', ...issue.path.map(String)].join('.'),
    message: issue.message,
  }));
  throw new LapisError(ResultCode.BadRequest, 'the chat completion is not valid', { problems });
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
