import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { LogLimiter } from '../src/index.js';

interface LimiterWorld {
  limiter: LogLimiter;
  written: string[];
}

Given('a limit of {int} lines of an event', function (this: LimiterWorld, maxLines: number) {
  this.limiter = new LogLimiter(maxLines);
  this.written = [];
});

When('lines are offered {string}', function (this: LimiterWorld, lines: string) {
  for (const line of lines.split(' ')) {
    const [event = '', time = ''] = line.split('@');
    if (this.limiter.allows(event, Number(time))) this.written.push(line);
  }
});

Then('the lines written are {string}', function (this: LimiterWorld, expected: string) {
  assert.equal(this.written.join(' '), expected);
});

Then('the lines left out are {string}', function (this: LimiterWorld, expected: string) {
  const told = this.limiter.takeSuppressed().map(({ event, lines }) => `${event}:${lines}`);
  assert.equal(told.join(' '), expected);
});
