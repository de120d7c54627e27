import assert from 'node:assert/strict';
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';

interface StartWorld {
  npm: ChildProcess | undefined;
  output: string;
  basePort: number;
}

const POLL_MS = 50;
const STEP_LIMIT = { timeout: 120_000 };
/** Below the ephemeral ports of the operating system; concurrent runs differ by process id. */
const FIRST_PORT = 24_000;
const PORTS_PER_RUN = 100;
const PORT_RANGES = 80;

Given('"npm start" runs until it is ready', STEP_LIMIT, async function (this: StartWorld) {
  this.basePort = FIRST_PORT + (process.pid % PORT_RANGES) * PORTS_PER_RUN;
  this.output = '';
  const args = ['start', '--silent', '--', '--base-port', String(this.basePort)];
  // A separate process group, so that cleanup can end every process that npm leaves behind.
  const npm = spawn('npm', args, { stdio: ['ignore', 'pipe', 'inherit'], detached: true });
  this.npm = npm;
  npm.stdout.on('data', (chunk: Buffer) => {
    this.output += chunk.toString();
  });
  while (!this.output.includes('event=ready')) {
    assert.equal(npm.exitCode, null, this.output);
    await pause(POLL_MS);
  }
});

When('npm gets SIGTERM', STEP_LIMIT, async function (this: StartWorld) {
  assert.ok(this.npm);
  this.npm.kill('SIGTERM');
  await once(this.npm, 'close');
});

Then(
  'the deployment says that it has stopped, and its ports are free',
  async function (this: StartWorld) {
    assert.match(this.output, /event=stopped/);
    const ports = [...this.output.matchAll(/127\.0\.0\.1:(\d+)/g)].map(([, port]) => Number(port));
    assert.ok(ports.length > 0, this.output);
    for (const port of new Set(ports)) {
      const server = createServer();
      await once(server.listen(port, '127.0.0.1'), 'listening');
      server.close();
    }
  },
);

After(function (this: Partial<StartWorld>) {
  const group = this.npm?.pid;
  if (group === undefined) return;
  this.npm?.stdout?.destroy();
  try {
    process.kill(-group, 'SIGKILL');
  } catch {
    // Expected: no process of the group is left.
  }
});
