import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import type { StorePosition } from '../src/index.js';
import { isLater, isSamePosition, laterOf, formatStorePosition } from '../src/index.js';

interface PositionWorld {
  one: StorePosition;
  other: StorePosition;
}

function positionOf(text: string): StorePosition {
  const [era = 0, revision = 0] = text.split('.').map(Number);
  return { era, revision };
}

Given(
  /^the positions (\S+) and (\S+) of the store$/,
  function (this: PositionWorld, one: string, other: string) {
    this.one = positionOf(one);
    this.other = positionOf(other);
  },
);

Then(/^the later one is (\S+)$/, function (this: PositionWorld, later: string) {
  const { one, other } = this;
  const isNeither = later === 'neither';
  assert.equal(isLater(one, other) || isLater(other, one), !isNeither);
  assert.equal(isSamePosition(one, other), isNeither);
  if (!isNeither) assert.equal(formatStorePosition(laterOf(one, other)), later);
});
