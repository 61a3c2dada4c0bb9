/**
 * HTTP paths at which sidecars, and entries that forward prepare orders, serve a group's leader.
 */
export enum RelayPath {
  Prepare = '/rank/prepare',
  Report = '/rank/report',
  Map = '/rank/map',
  /** Fencing number of this sidecar while it leads its group. */
  Leader = '/rank/leader',
  /** At an entry: a prepare order for several sidecars of its zone. */
  ForwardPrepare = '/rank/pass-on-prepare',
}
