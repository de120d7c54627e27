import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { Access } from '@gladespool/coordination';
import { PreparedConnection } from '../src/home/prepared-connection.js';
import type { DriverConnection, UpstreamAnswer, UpstreamCommand } from '../src/index.js';

interface NamesWorld {
  /** Names under which the upstream was told to prepare shapes. */
  names: readonly string[];
}

const TIMEOUT_MS = 1000;

/** Connection that records the names of prepared shapes. */
class RecordingConnection implements DriverConnection {
  readonly names: string[] = [];
  readonly usable = true;
  readonly reusable = true;
  readonly initialPosition = undefined;

  exchange(command: UpstreamCommand): Promise<UpstreamAnswer> {
    if (command.kind === 'prepare') this.names.push(command.name);
    return Promise.resolve({ kind: 'completed', rows: [], signature: '-', position: undefined });
  }

  close(): void {
    // Holds nothing.
  }
}

When(
  'sessions prepare {string} and {string} on one connection',
  async function (this: NamesWorld, first: string, second: string) {
    const wire = new RecordingConnection();
    const connection = new PreparedConnection(wire);
    for (const shape of [first, second]) {
      const work = {
        kind: 'prepared',
        prepared: { access: Access.Read, shape },
        args: '1',
      } as const;
      assert.equal(await connection.setUp(new Map(), work, TIMEOUT_MS), undefined);
    }
    this.names = wire.names;
  },
);

Then('the upstream holds them under different names of one word', function (this: NamesWorld) {
  assert.equal(new Set(this.names).size, 2);
  for (const name of this.names) assert.match(name, /^\S+$/);
});
