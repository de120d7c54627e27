/**
 * World of the scenarios in which several hosts serve one group.
 */
import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import type { PrimaryRecord, UpstreamId } from '@gladespool/coordination';
import { upstreamId } from '@gladespool/coordination';
import type { Outcome } from '../../src/index.js';
import type { FakeDeployment, FakeHost } from './fake-deployment.js';

/** State shared by the steps of these scenarios. */
export interface ActionWorld {
  deployment: FakeDeployment;
  former: UpstreamId;
  lastCountedAt: number;
  /** Outcome of a single read. */
  answer: Outcome;
  /** The upstream whose promotion was requested first. */
  firstCalled: UpstreamId | undefined;
  other: FakeHost;
  /** The record that the store has lost. */
  lost: PrimaryRecord;
  /** Outcomes of the writes until the primary has changed, one list for each host. */
  writing: readonly Promise<readonly TimedOutcome[]>[];
}

/** An outcome with the time at which it was known. */
export type TimedOutcome = Outcome & { readonly endedAt: number };

/** The initial primary. */
export const FORMER = upstreamId('u0');

/** The host at an index. */
export function host(world: ActionWorld, index: number): FakeDeployment['hosts'][number] {
  const found = world.deployment.hosts[index];
  assert.ok(found, `host ${index}`);
  return found;
}

/** Makes the initial primary fail silently. */
export function killPrimary(world: ActionWorld): void {
  const primary = world.deployment.group.upstreams.get(FORMER);
  assert.ok(primary);
  primary.dead = true;
}

/** Key of the initial primary's entry in the store. */
export const PRIMARY_KEY = `upstream/${FORMER}`;

/** Writes on a host until the initial primary is replaced. */
export async function writeUntilChanged(
  world: ActionWorld,
  each: FakeHost,
): Promise<readonly TimedOutcome[]> {
  const { deployment } = world;
  const outcomes: TimedOutcome[] = [];
  while (deployment.primary() === FORMER) {
    const outcome = await deployment.run(each, 'WRITE x 1');
    outcomes.push({ ...outcome, endedAt: performance.now() });
    await pause(5);
  }
  return outcomes;
}

/** Writes on a host `count` times, at the same pace whether the writes succeed or not. */
export async function writeTimes(
  world: ActionWorld,
  each: FakeHost,
  count: number,
): Promise<readonly TimedOutcome[]> {
  const outcomes: TimedOutcome[] = [];
  for (let left = count; left > 0; left -= 1) {
    const outcome = await world.deployment.run(each, 'WRITE x 1');
    outcomes.push({ ...outcome, endedAt: performance.now() });
    await pause(10);
  }
  return outcomes;
}
