/**
 * Small stand-ins of the systems that lapisbridge serves. Private: tests, bench, quickstart.
 */
export type { EngineFaults, EngineOptions } from './engine.js';
export { answerTokens, countTokens, expectedAnswer } from './generated-text.js';
export type { ChatMessage } from './generated-text.js';
export type { Effect, PlainServiceOptions, ServiceFaults } from './plain-service.js';
export { OutageKind } from './platform.js';
export type { PlatformFaults, PlatformOptions } from './platform.js';
export { createTableState } from './platform-state.js';
export type { TableState, TransactionReply, TransactionRequest } from './platform-state.js';
export type { RankGroupOptions } from './rank-group.js';
export { StandInKind } from './stand-in-kind.js';
