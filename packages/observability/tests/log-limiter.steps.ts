import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { LogLimiter } from '../src/index.js';

interface LimiterWorld {
  limiter: LogLimiter;
  written: string[];
}

Given('a limit of {int} lines per event', function (this: LimiterWorld, maxLines: number) {
  this.limiter = new LogLimiter(maxLines);
  this.written = [];
});

When('lines are offered {string}', function (this: LimiterWorld, lines: string) {
  for (const line of lines.split(' ')) {
    const [event = '', time = ''] = line.split('@');
    if (this.limiter.allows(event, Number(time))) this.written.push(line);
  }
});

Then('the written lines are {string}', function (this: LimiterWorld, expected: string) {
  assert.equal(this.written.join(' '), expected);
});

Then('the suppressed lines are {string}', function (this: LimiterWorld, expected: string) {
  const reported = this.limiter.takeSuppressed().map(({ event, lines }) => `${event}:${lines}`);
  assert.equal(reported.join(' '), expected);
});
