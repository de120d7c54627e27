/**
 * What a bundle changes, for review before it is signed.
 */
import type { GroupSpec } from '@gladespool/coordination';
import type { Bundle } from '@gladespool/protocol';

/** One difference. */
export interface BundleChange {
  /** What changed, such as `group.ledger1` or `operator.alice`. */
  readonly what: string;
  /** Value before; undefined when it is new. */
  readonly before: string | undefined;
  /** Value after; undefined when it is removed. */
  readonly after: string | undefined;
}

/** Differences from one bundle to another, by name. */
export function diffBundles(before: Bundle | undefined, after: Bundle): readonly BundleChange[] {
  const old = before === undefined ? new Map<string, string>() : facts(before);
  const fresh = facts(after);
  const names = [...new Set([...old.keys(), ...fresh.keys()])].sort();
  return names
    .map((what) => ({ what, before: old.get(what), after: fresh.get(what) }))
    .filter((change) => change.before !== change.after);
}

function facts(bundle: Bundle): Map<string, string> {
  const found = new Map<string, string>([['bundle.threshold', String(bundle.threshold)]]);
  for (const { name, key } of bundle.operators)
    found.set(`operator.${name}`, key.toString('base64'));
  for (const group of bundle.groups) addGroup(found, group);
  return found;
}

function addGroup(found: Map<string, string>, group: GroupSpec): void {
  const { connectionsPerUpstream, defaultMaxAgeMs, acknowledgement, sessionGuarantee } = group;
  const rules = [
    `connections_per_upstream=${connectionsPerUpstream}`,
    `max_age_ms=${defaultMaxAgeMs}`,
    `acknowledgement=${acknowledgement}`,
    `session=${sessionGuarantee}`,
  ];
  found.set(`group.${group.id}`, rules.join(' '));
  for (const { id, az, address, port, state } of group.upstreams) {
    found.set(`upstream.${group.id}.${id}`, `${az} ${address}:${port} ${state}`);
  }
}
