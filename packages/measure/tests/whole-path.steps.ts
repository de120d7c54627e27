import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Caller } from '../src/load/caller.js';
import { Deployment } from '../src/embedded/deployment.js';
import { RAMDIN } from '../src/embedded/shape.js';

interface EndToEndWorld {
  deployment: Deployment | undefined;
  missed: number;
}

const GROUP = 'ledger1';

After(async function (this: EndToEndWorld) {
  await this.deployment?.stop();
});

Given(
  'an embedded deployment whose replicas lag {int} ms',
  async function (this: EndToEndWorld, lagMs: number) {
    const shape = { ...RAMDIN, groups: [GROUP] };
    this.deployment = new Deployment({ shape, seed: 7, basePort: 0, latency: false });
    await this.deployment.start();
    for (const { server } of this.deployment.upstreams) server.node.applyLagMs = lagMs;
  },
);

When(
  "a caller writes {int} rows on one host and reads each at once on another zone's host",
  async function (this: EndToEndWorld, count: number) {
    const { hosts } = this.deployment ?? { hosts: [] };
    const ports = [hosts[0], hosts.at(-1)].map((host) => host?.callers.port ?? 0);
    const writer = await Caller.connect({ port: ports[0] ?? 0, group: GROUP });
    const reader = await Caller.connect({ port: ports[1] ?? 0, group: GROUP });
    this.missed = 0;
    for (let i = 0; i < count; i += 1) {
      await writer.query(`INSERT INTO deeds (id, state) VALUES ('${i}', 'signed')`);
      await reader.adoptToken(writer.token);
      const rows = await reader.query(`SELECT state FROM deeds WHERE id = '${i}'`);
      if (rows.length !== 1) this.missed += 1;
    }
    await writer.end();
    await reader.end();
  },
);

Then('no read missed its write', function (this: EndToEndWorld) {
  assert.equal(this.missed, 0);
});
