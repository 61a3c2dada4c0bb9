/**
 * HTTP calls with JSON bodies, one connection a call, and checked reading of what comes back.
 */
export { AnswerTooLargeError, callJson } from './call-json.js';
export type { JsonAnswer, JsonCall } from './call-json.js';
export {
  isObject,
  listOf,
  numberOf,
  objectsOf,
  parseObject,
  textOf,
  wholeNumberOf,
} from './decode.js';
export type { JsonObject, NumberRange } from './decode.js';
export { parseAddress, PORTS } from './parse-address.js';
export type { Address } from './parse-address.js';
export { parseDecimal } from './parse-decimal.js';
export { parseRetryAfter } from './parse-retry-after.js';
