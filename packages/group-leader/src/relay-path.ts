/** Paths at which sidecars, and entries that pass orders on, take calls of a group's leader. */
export enum RelayPath {
  Prepare = '/rank/prepare',
  Report = '/rank/report',
  Map = '/rank/map',
  /** Fencing number of the leader here, if it leads. */
  Leader = '/rank/leader',
  /** At an entry: an order to prepare, for several sidecars of its zone. */
  ForwardPrepare = '/rank/pass-on-prepare',
}
