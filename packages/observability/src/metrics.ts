/**
 * Metrics of a host. The series of every label value from a fixed set start at zero, so that a missing series always
 * means a missing host.
 */
import { Distance, RefusalReason, RetryReason } from '@gladespool/coordination';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

const LATENCY_BUCKETS_SECONDS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5,
];

/** Component that served a statement. */
export enum ServedBy {
  Primary = 'primary',
  Replica = 'replica',
  Proxy = 'proxy',
}

/** Kinds of control traffic. */
export enum ControlTraffic {
  /** Heartbeats, updates, bundle parts and suspicion messages between hosts. */
  Peers = 'peers',
  /** Status and control statements sent to upstreams. */
  Upstreams = 'upstreams',
}

/** Result of reading one version of a key from the metadata store. */
export enum DocumentVerdict {
  Used = 'used',
  /** A key of another writer, or of a kind unknown to this host. */
  Unrelated = 'no-concern',
  /** Names a group missing from the active configuration; used once a configuration contains it. */
  Unconfigured = 'unconfigured',
  Unreadable = 'unreadable',
}

/** Evidence that the primary named in a record is no longer primary. */
export enum DepositionEvidence {
  /** It refused a write. */
  ReadOnly = 'read-only',
  /** It lacks a position that it had reported under the same record. */
  Position = 'position',
  /** Its status reports another role. */
  Status = 'status',
}

/** Evidence that an upstream restarted under the same id. */
export enum RestartEvidence {
  /** Its entry has another start time. */
  Entry = 'entry',
  /** A primary reported a position behind one that it had reported in the same epoch. */
  Position = 'position',
}

/** Metric labels of distances. */
export const DISTANCE_LABELS: Readonly<Record<Distance, string>> = {
  [Distance.SameZone]: 'same-zone',
  [Distance.SameRegion]: 'same-region',
  [Distance.OtherRegion]: 'other-region',
};

/** Reason for which the host closed a caller's connection. */
export enum CallerFault {
  LoginTimeout = 'login-timeout',
  LoginTooLarge = 'login-too-large',
  WrongPassword = 'wrong-password',
  Malformed = 'malformed',
  TooManyCallers = 'too-many-callers',
}

/** Metrics of one host, in a registry of their own. */
export class HostMetrics {
  readonly registry = new Registry();

  readonly refusals = new Counter({
    name: 'gladespool_refusals_total',
    help: 'Requests refused, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  readonly retries = new Counter({
    name: 'gladespool_retries_total',
    help: 'Steps that the proxy tried again, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  readonly localLimitDecisions = new Counter({
    name: 'gladespool_limits_alone_total',
    help: "Operations judged without the host that keeps their workspace's allowance",
    registers: [this.registry],
  });

  readonly statements = new Counter({
    name: 'gladespool_statements_total',
    help: 'Requests answered, by who served them',
    labelNames: ['served_by'],
    registers: [this.registry],
  });

  readonly callerFaults = new Counter({
    name: 'gladespool_caller_faults_total',
    help: 'Caller connections closed by the host, by fault',
    labelNames: ['fault'],
    registers: [this.registry],
  });

  readonly callers = new Gauge({
    name: 'gladespool_callers',
    help: 'Caller connections open',
    registers: [this.registry],
  });

  readonly controlBytes = new Counter({
    name: 'gladespool_control_bytes_total',
    help: 'Bytes of control traffic, by what it is for',
    labelNames: ['traffic'],
    registers: [this.registry],
  });

  readonly peerBytes = new Counter({
    name: 'gladespool_peer_bytes_total',
    help: 'Bytes sent to other hosts, statements and control, by how far away they are',
    labelNames: ['distance'],
    registers: [this.registry],
  });

  readonly upstreamConnections = new Counter({
    name: 'gladespool_upstream_connections_total',
    help: 'Connections opened to upstreams',
    registers: [this.registry],
  });

  readonly upstreamRestarts = new Counter({
    name: 'gladespool_upstreams_born_anew_total',
    help: 'Signs that an upstream has started anew under its id, by what showed it',
    labelNames: ['evidence'],
    registers: [this.registry],
  });

  readonly primariesDeposed = new Counter({
    name: 'gladespool_primaries_deposed_total',
    help: 'Primaries of the records that showed that they lead no more, by what showed it',
    labelNames: ['evidence'],
    registers: [this.registry],
  });

  readonly storeEra = new Gauge({
    name: 'gladespool_store_era',
    help: 'How often the metadata store has come back from a copy, as its latest answer told',
    registers: [this.registry],
  });

  readonly documentsRestored = new Counter({
    name: 'gladespool_documents_restored_total',
    help: 'Documents that this host wrote back to a metadata store that had come back from a copy',
    registers: [this.registry],
  });

  readonly storeRestores = new Counter({
    name: 'gladespool_store_returns_total',
    help: 'Times at which this host learnt that the metadata store had come back from a copy',
    registers: [this.registry],
  });

  readonly storeCalls = new Counter({
    name: 'gladespool_store_calls_total',
    help: 'Calls to the metadata store, by purpose and result',
    labelNames: ['purpose', 'result'],
    registers: [this.registry],
  });

  readonly storeDocuments = new Counter({
    name: 'gladespool_store_documents_total',
    help: 'Versions of keys of the metadata store that were read, by what became of them',
    labelNames: ['verdict'],
    registers: [this.registry],
  });

  readonly promotions = new Counter({
    name: 'gladespool_promotions_total',
    help: 'Promotions finished by this host',
    registers: [this.registry],
  });

  readonly bundleVersion = new Gauge({
    name: 'gladespool_bundle_version',
    help: 'Version of the configuration bundle in force on this host',
    registers: [this.registry],
  });

  readonly liveHosts = new Gauge({
    name: 'gladespool_live_hosts',
    help: 'Live hosts of the availability zone as this host sees it',
    registers: [this.registry],
  });

  readonly establishedHosts = new Gauge({
    name: 'gladespool_established_hosts',
    help: 'Listed hosts that are on every host list that may still be in use; only these outweigh hosts that do not answer',
    registers: [this.registry],
  });

  readonly evacuatedZones = new Gauge({
    name: 'gladespool_evacuated_zones',
    help: 'Availability zones whose upstreams the operators want out of use',
    registers: [this.registry],
  });

  readonly latency = new Histogram({
    name: 'gladespool_request_seconds',
    help: 'Time from the arrival of a request to its answer',
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.registry],
  });

  constructor() {
    for (const reason of Object.values(RefusalReason)) this.refusals.inc({ reason }, 0);
    for (const reason of Object.values(RetryReason)) this.retries.inc({ reason }, 0);
    for (const traffic of Object.values(ControlTraffic)) this.controlBytes.inc({ traffic }, 0);
    for (const distance of Object.values(DISTANCE_LABELS)) this.peerBytes.inc({ distance }, 0);
    for (const servedBy of Object.values(ServedBy)) this.statements.inc({ served_by: servedBy }, 0);
    for (const verdict of Object.values(DocumentVerdict)) this.storeDocuments.inc({ verdict }, 0);
    for (const evidence of Object.values(RestartEvidence))
      this.upstreamRestarts.inc({ evidence }, 0);
    for (const evidence of Object.values(DepositionEvidence))
      this.primariesDeposed.inc({ evidence }, 0);
    for (const fault of Object.values(CallerFault)) this.callerFaults.inc({ fault }, 0);
  }
}
