/**
 * The text an engine stand-in generates. Its first word names the generation, and the rest
 * follows from the prompt and that word. So a checker can tell a whole answer from one with
 * a gap, a repeat, another caller's text, or a splice of two generations.
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

function promptHash(messages: readonly ChatMessage[], generation: string): Buffer {
  const hash = createHash('sha256').update(generation);
  for (const { role, content } of messages) hash.update(`${role}\u0000${content}\u0000`);
  return hash.digest();
}

/** Tokens of the whole answer; each is one word and a space. */
export function answerTokens(
  messages: readonly ChatMessage[],
  generation: string,
  maximumTokens?: number,
): string[] {
  const hash = promptHash(messages, generation);
  const natural = SHORTEST_TOKENS + (hash.readUInt16BE(0) % LENGTH_RANGE);
  const length = maximumTokens ?? natural;
  const tokens: string[] = [`${generation} `];
  let state = hash.readUInt32BE(4);
  for (let index = 1; index < length; index += 1) {
    state = (state * MULTIPLIER + INCREMENT) % MODULUS;
    tokens.push(`${WORDS[state % WORDS.length]}${index % 7 === 0 ? index : ''} `);
  }
  return tokens;
}

/** The whole answer whose beginning is given. */
export function expectedAnswer(
  messages: readonly ChatMessage[],
  beginning: string,
  maximumTokens?: number,
): string {
  return answerTokens(messages, generationOf(beginning), maximumTokens).join('');
}

/** The word that names a generation, from the beginning of its text. */
export function generationOf(text: string): string {
  return text.split(' ', 1)[0];
}

export function countTokens(text: string): number {
  return text.split(' ').length - 1;
}
