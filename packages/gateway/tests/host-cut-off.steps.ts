import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { hostId } from '@gladespool/coordination';
import type { ActionWorld } from './fakes/action-world.js';
import { host } from './fakes/action-world.js';

When(
  'host {int} can no longer be asked by others and does not reach the store',
  async function (this: ActionWorld, index: number) {
    host(this, index).store.cut = true;
    await host(this, index).gateway.closePeers();
  },
);

Then(
  'the others take host {int} off the list',
  { timeout: 20_000 },
  async function (this: ActionWorld, index: number) {
    const others = this.deployment.hosts.filter((_, other) => other !== index);
    await this.deployment.until(() =>
      others.every(({ gateway }) => !gateway.board.hosts.has(hostId(`h${index}`))),
    );
  },
);

Then(
  'host {int} is no longer ready, and the others are',
  { timeout: 20_000 },
  async function (this: ActionWorld, index: number) {
    const { deployment } = this;
    const isReady = (at: number): boolean => host(this, at).gateway.isReady(performance.now());
    await deployment.until(() => !isReady(index));
    const others = deployment.hosts.filter((_, at) => at !== index);
    assert.ok(others.every(({ gateway }) => gateway.isReady(performance.now())));
  },
);

Then('host {int} is ready', { timeout: 20_000 }, async function (this: ActionWorld, index: number) {
  await this.deployment.until(() => host(this, index).gateway.isReady(performance.now()));
});

When('host {int} can open no connection to any upstream', function (this: ActionWorld, at: number) {
  const { driver } = host(this, at);
  for (const id of this.deployment.group.upstreams.keys()) driver.unreachable.add(id);
});

Then('the next statement of host {int} is served', async function (this: ActionWorld, at: number) {
  const outcome = await this.deployment.run(host(this, at), 'WRITE x 1');
  assert.equal(outcome.kind, 'completed', JSON.stringify(outcome));
});

When('host {int} reaches the store again', function (this: ActionWorld, index: number) {
  host(this, index).store.cut = false;
});

Then(
  'host {int} is listed again',
  { timeout: 20_000 },
  async function (this: ActionWorld, index: number) {
    const { board } = host(this, 0).gateway;
    await this.deployment.until(() => board.hosts.has(hostId(`h${index}`)));
  },
);
