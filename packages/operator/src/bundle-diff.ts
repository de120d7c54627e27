/**
 * Differences between two bundles, for review before signing.
 */
import type { GroupSpec } from '@gladespool/coordination';
import type { Bundle } from '@gladespool/protocol';

/** Difference in one named entry. */
export interface BundleChange {
  /** Name of the entry, for example `group.ledger1` or `operator.alice`. */
  readonly what: string;
  /** Previous value; undefined if the entry was added. */
  readonly before: string | undefined;
  /** New value; undefined if the entry was removed. */
  readonly after: string | undefined;
}

/** Returns the differences between two bundles, sorted by name. */
export function diffBundles(before: Bundle | undefined, after: Bundle): readonly BundleChange[] {
  const previous = before === undefined ? new Map<string, string>() : entriesOf(before);
  const current = entriesOf(after);
  const names = [...new Set([...previous.keys(), ...current.keys()])].sort();
  return names
    .map((what) => ({ what, before: previous.get(what), after: current.get(what) }))
    .filter((change) => change.before !== change.after);
}

function entriesOf(bundle: Bundle): Map<string, string> {
  const entries = new Map<string, string>([['bundle.threshold', String(bundle.threshold)]]);
  for (const { name, key } of bundle.operators)
    entries.set(`operator.${name}`, key.toString('base64'));
  for (const group of bundle.groups) addGroup(entries, group);
  return entries;
}

function addGroup(entries: Map<string, string>, group: GroupSpec): void {
  const { connectionsPerUpstream, defaultMaxAgeMs, acknowledgement, sessionGuarantee } = group;
  const rules = [
    `connections_per_upstream=${connectionsPerUpstream}`,
    `max_age_ms=${defaultMaxAgeMs}`,
    `acknowledgement=${acknowledgement}`,
    `session=${sessionGuarantee}`,
  ];
  entries.set(`group.${group.id}`, rules.join(' '));
  for (const { id, az, address, port, state } of group.upstreams) {
    entries.set(`upstream.${group.id}.${id}`, `${az} ${address}:${port} ${state}`);
  }
}
