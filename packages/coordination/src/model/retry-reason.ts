/** Reasons for which the proxy itself retries a step; the values are labels of the retry counter. */
export enum RetryReason {
  PeerUnreachable = 'peer-unreachable',
  StaleReplica = 'stale-replica',
  ReadOnlyUpstream = 'read-only-upstream',
  ConnectFailed = 'connect-failed',
  ReadLost = 'read-lost',
  NotPrimary = 'not-primary',
  StoreFailed = 'store-failed',
  StoreConflict = 'store-conflict',
  WatchLost = 'watch-lost',
  UpstreamBusy = 'upstream-busy',
  LostPreparation = 'lost-preparation',
  UpstreamExcluded = 'upstream-excluded',
}
