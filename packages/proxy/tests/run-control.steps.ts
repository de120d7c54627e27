import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { gladespoolError, Step, upstreamId } from '@gladespool/coordination';
import type { ControlResult } from '@gladespool/upstreams';
import { err } from 'neverthrow';
import type { ControlledHome } from '../src/control/run-control.js';
import { runControl } from '../src/control/run-control.js';

interface ControlWorld {
  home: ControlledHome;
  result: ControlResult;
}

const UPSTREAM = upstreamId('u1');

/** Error of the control connection itself; shows whether the statement reached the connection. */
const CONTROL_ERROR = gladespoolError({ step: Step.UpstreamExchange, peer: UPSTREAM }, 'refused');

Given(
  /^a home (with a|that has no) control connection to the upstream$/,
  function (this: ControlWorld, which: string) {
    const control = { run: () => Promise.resolve(err(CONTROL_ERROR)) };
    this.home = { control: () => (which === 'with a' ? control : undefined) };
  },
);

When('a promotion runs a control statement there', async function (this: ControlWorld) {
  this.result = await runControl(this.home, UPSTREAM, 'SELECT 1');
});

Then('its result is {string}', function (this: ControlWorld, expected: string) {
  const { step, peer } = this.result._unsafeUnwrapErr();
  assert.equal(`error ${step} ${peer}`, expected);
});
