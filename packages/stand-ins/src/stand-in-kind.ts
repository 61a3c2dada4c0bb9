/**
 * The kinds of stand-in that run as processes.
 */
export enum StandInKind {
  Platform = 'platform',
  Engine = 'engine',
  PlainService = 'plainService',
  RankGroup = 'rankGroup',
}
