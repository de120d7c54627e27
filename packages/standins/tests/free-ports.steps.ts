import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { freePorts } from '../src/index.js';

interface PortsWorld {
  ports: readonly number[];
}

When('{int} ports of one address are chosen', async function (this: PortsWorld, count: number) {
  this.ports = await freePorts(count);
});

Then('they all differ', function (this: PortsWorld) {
  assert.equal(new Set(this.ports).size, this.ports.length);
});
