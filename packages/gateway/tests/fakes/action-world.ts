/**
 * World of the scenarios in which several hosts act on one group together.
 */
import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import type { PrimaryRecord, UpstreamId } from '@gladespool/coordination';
import { upstreamId } from '@gladespool/coordination';
import type { Outcome } from '../../src/index.js';
import type { FakeDeployment, FakeHost } from './fake-deployment.js';

/** What the scenarios of hosts in action share. */
export interface ActionWorld {
  deployment: FakeDeployment;
  former: UpstreamId;
  lastCountedAt: number;
  /** Outcome of a single read. */
  answer: Outcome;
  /** The upstream that was first called for. */
  firstCalled: UpstreamId | undefined;
  other: FakeHost;
  /** The record that the store has lost. */
  lost: PrimaryRecord;
  /** Outcomes of writes that go on until the primary has changed, a list for each host. */
  writing: readonly Promise<readonly Outcome[]>[];
}

/** The primary at the beginning. */
export const FORMER = upstreamId('u0');

/** The host at an index. */
export function host(world: ActionWorld, index: number): FakeDeployment['hosts'][number] {
  const found = world.deployment.hosts[index];
  assert.ok(found, `host ${index}`);
  return found;
}

/** Ends the primary without a word. */
export function killPrimary(world: ActionWorld): void {
  const primary = world.deployment.group.upstreams.get(FORMER);
  assert.ok(primary);
  primary.dead = true;
}

/** Key of its entry in the store. */
export const PRIMARY_KEY = `upstream/${FORMER}`;

/** Writes on a host until the primary is no longer the one at the beginning. */
export async function writeUntilChanged(
  world: ActionWorld,
  each: FakeHost,
): Promise<readonly Outcome[]> {
  const { deployment } = world;
  const outcomes: Outcome[] = [];
  while (deployment.primary() === FORMER) {
    outcomes.push(await deployment.run(each, 'WRITE x 1'));
    await pause(5);
  }
  return outcomes;
}
