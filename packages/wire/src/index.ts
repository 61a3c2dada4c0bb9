/**
 * The internal protocol between the system's processes: messages, frames and channels.
 */
export * from './messages.js';
export { createFrameBudget } from './frame-budget.js';
export type { FrameBudget } from './frame-budget.js';
export { createFrameReader, encodeFrame, MAXIMUM_FRAME_BYTES } from './frames.js';
export type { FrameReader } from './frames.js';
export {
  CloseReason,
  HEARTBEAT_INTERVAL_MILLISECONDS,
  openChannel,
  SILENCE_TIMEOUT_MILLISECONDS,
} from './channel.js';
export type { Channel, ChannelHandlers, ChannelOptions } from './channel.js';
export { CONNECT_TIMEOUT_MILLISECONDS, dial } from './dial.js';
