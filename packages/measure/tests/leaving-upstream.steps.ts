import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Then, When } from '@cucumber/cucumber';
import { until } from '../src/embedded/deployment.js';
import type { DeploymentWorld } from './deployment-world.js';
import { deploymentOf, GROUP } from './deployment-world.js';

interface LeavingWorld extends DeploymentWorld {
  left: string;
}

const MS_PER_S = 1000;
/** Exceeds the time after which any home starts a handover that it takes for unfinished, milliseconds. */
const SETTLED_MS = 4000;

When('the hosts of zone {string} lose the store', function (this: LeavingWorld, zone: string) {
  deploymentOf(this).network.isolate(zone, ['platform']);
});

Then(
  'another upstream is primary within {int} s',
  async function (this: LeavingWorld, seconds: number) {
    const deployment = deploymentOf(this);
    const isHandedOver = (): boolean => deployment.primaryOf(GROUP).node.id !== this.left;
    await until(isHandedOver, seconds * MS_PER_S);
  },
);

Then('the primary stays with the same term afterwards', async function (this: LeavingWorld) {
  const { node } = deploymentOf(this).primaryOf(GROUP);
  const { term } = node;
  await pause(SETTLED_MS);
  assert.equal(deploymentOf(this).primaryOf(GROUP).node, node);
  assert.equal(node.term, term);
});
