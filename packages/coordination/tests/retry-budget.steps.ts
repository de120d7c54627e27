import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { RetryLimiter } from '../src/index.js';

interface RetryWorld {
  granted: number;
}

When(
  '{int} requests want a retry each with share {float} and burst {int}',
  function (this: RetryWorld, requests: number, share: number, burst: number) {
    const allowance = new RetryLimiter({ share, burst });
    this.granted = 0;
    for (let i = 0; i < requests; i += 1) {
      allowance.recordRequest();
      if (allowance.tryAcquire()) this.granted += 1;
    }
  },
);

Then('{int} retries are granted', function (this: RetryWorld, granted: number) {
  assert.equal(this.granted, granted);
});
