/**
 * Keeping answers whole: buffering, appending by offset, resumption ids.
 */
export { AnswerStatus, createAnswerBuffer } from './answer-buffer.js';
export type { AnswerBuffer, AnswerEnding } from './answer-buffer.js';
export { formatEventId, parseEventId } from './event-id.js';
export type { EventId } from './event-id.js';
export { AppendKind, planAppend } from './plan-append.js';
export type { Append } from './plan-append.js';
