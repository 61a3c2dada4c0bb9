/**
 * The text an engine stand-in generates. It follows from the prompt alone, so a checker can
 * tell a whole answer from one with a gap, a repeat or another caller's text.
 */
import { createHash } from 'node:crypto';

export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

const WORDS = [
  'sprinkler', 'valve', 'canvas', 'pressure', 'stretcher', 'frame', 'riser', 'gauge', 'linen', 'pump',
  'quote', 'stock', 'retest', 'defect', 'pipe', 'bracket', 'order', 'pallet', 'alarm', 'hydrant',
  'cotton', 'primer', 'coupling', 'inspect', 'replace', 'deliver', 'confirm', 'schedule', 'notify', 'seal',
  'hose', 'wedge',
] as const; // prettier-ignore
/** Constants of a small linear congruential generator; products stay below 2^53. */
const MULTIPLIER = 48_271;
const INCREMENT = 11;
const MODULUS = 2_147_483_647;
const SHORTEST_TOKENS = 24;
const LENGTH_RANGE = 40;

function promptHash(messages: readonly ChatMessage[]): Buffer {
  const hash = createHash('sha256');
  for (const { role, content } of messages) hash.update(`${role}\u0000${content}\u0000`);
  return hash.digest();
}

/** Tokens of the whole answer; each is one word and a space. */
export function answerTokens(messages: readonly ChatMessage[], maximumTokens?: number): string[] {
  const hash = promptHash(messages);
  const natural = SHORTEST_TOKENS + (hash.readUInt16BE(0) % LENGTH_RANGE);
  const length = maximumTokens ?? natural;
  const tokens: string[] = [];
  let state = hash.readUInt32BE(4);
  for (let index = 0; index < length; index += 1) {
    state = (state * MULTIPLIER + INCREMENT) % MODULUS;
    tokens.push(`${WORDS[state % WORDS.length]}${index % 7 === 0 ? index : ''} `);
  }
  return tokens;
}

export function expectedAnswer(messages: readonly ChatMessage[], maximumTokens?: number): string {
  return answerTokens(messages, maximumTokens).join('');
}

export function countTokens(text: string): number {
  return text.split(' ').length - 1;
}
