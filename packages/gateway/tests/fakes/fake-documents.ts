/**
 * Documents of operators and upstreams in the tests, as JSON: upstreams, configurations of group names, evacuations.
 */
import type { ExpiryRules } from '@gladespool/coordination';
import { azId, groupId } from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import type {
  Catalog,
  DocumentReadResult,
  ForeignDocument,
  ForeignDocumentReader,
  GatewayBoard,
  UpstreamEntry,
} from '../../src/index.js';
import {
  DocumentReader,
  UNRELATED_KEY,
  unreadableDocument,
  usedDocument,
} from '../../src/index.js';

/** Expiry of upstreams in tests in which none expires. */
export const EXPIRY: ExpiryRules = {
  leavingAfterMs: 1000,
  goneAfterMs: 2000,
  newWorkMs: 2400,
  lateNewsMs: 700,
  confirmsForMs: 20_000,
};

/** Prefix of the keys of upstreams. */
export const UPSTREAM_PREFIX = 'upstream/';
/** Key of the configuration. */
export const CONFIG_KEY = 'config';
const EVACUATION_PREFIX = 'evacuation/';

/** A configuration as the tests store it. */
export interface StoredConfig {
  readonly version: number;
  readonly groups: readonly string[];
}

/** An entry of an upstream with the sequence number of its write, if there is one. */
interface CountedEntry {
  readonly entry: UpstreamEntry;
  readonly sequence?: number;
}

/** Reads the documents of the tests. */
export class FakeDocuments implements ForeignDocumentReader {
  read(key: string, text: string): DocumentReadResult<ForeignDocument> {
    if (key.startsWith(EVACUATION_PREFIX)) {
      return usedDocument({ kind: 'evacuation', az: azId(key.slice(EVACUATION_PREFIX.length)) });
    }
    const isKnown = key === CONFIG_KEY || key.startsWith(UPSTREAM_PREFIX);
    if (!isKnown) return UNRELATED_KEY;
    try {
      return usedDocument(decode(key, JSON.parse(text)));
    } catch {
      return unreadableDocument('no JSON');
    }
  }
}

/** Creates the document reader of one host, with its own metrics unless they are given. */
export function fakeReader(board: GatewayBoard, metrics = new HostMetrics()): DocumentReader {
  return new DocumentReader(board, new FakeDocuments(), metrics, createLogger('test'));
}

function decode(key: string, value: unknown): ForeignDocument {
  if (key === CONFIG_KEY) return { kind: 'catalog', catalog: catalogOf(value as StoredConfig) };
  const isCounted = typeof value === 'object' && value !== null && 'entry' in value;
  if (!isCounted) return { kind: 'upstream', entry: value as UpstreamEntry };
  return { kind: 'upstream', ...(value as CountedEntry) };
}

function catalogOf({ version, groups }: StoredConfig): Catalog {
  const bounds = groups.map((name) => {
    const group = groupId(name);
    return [group, { group, connectionsPerUpstream: 1, syncReplicas: 0 }] as const;
  });
  return {
    version,
    routes: new Map(),
    groups: new Map(bounds),
    keys: undefined,
    workspaces: new Map(),
    transactionIdleMs: 1000,
  };
}
