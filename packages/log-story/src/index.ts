/**
 * Tells what became of a request, and what was lost and regained, from processes' JSON lines.
 */
export { readLogLine, readLogLines } from './read-log-lines.js';
export type { LogLine, LogText, ReadLines } from './read-log-lines.js';
export { tellStory } from './tell-story.js';
export type { Belief, Story, StoryStep } from './tell-story.js';
export { collectPeriods, drawTimeline, isChange } from './draw-timeline.js';
export type { LossPeriod, Period, Timeline } from './draw-timeline.js';
