import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import type { Violations } from '../src/history/check-history.js';
import { checkHistory } from '../src/history/check-history.js';
import type { HistoryEvent } from '../src/history/history.js';
import { Told } from '../src/history/history.js';

interface HistoryWorld {
  violations: Violations;
}

Given(
  'the history {string} and the rows {string}',
  function (this: HistoryWorld, events: string, rows: string) {
    this.violations = checkHistory(events.split(', ').map(eventOf), new Set(rows.split(', ')));
  },
);

Then('the checker finds {string}', function (this: HistoryWorld, found: string) {
  const violated = Object.entries(this.violations)
    .filter(([, list]) => (list as readonly unknown[]).length > 0)
    .map(([guarantee]) => guarantee);
  assert.equal(violated.join(', '), found);
});

function eventOf(text: string): HistoryEvent {
  const [kind, row = '', detail = '', request] = text.split(':');
  if (kind === 'w') return { kind: 'write', session: 's', row, request, told: toldOf(detail) };
  return { kind: 'read', session: 's', row, foundOwner: detail === '' ? undefined : detail };
}

function toldOf(text: string): Told {
  const told = Object.values(Told).find((candidate) => text === candidate.valueOf());
  if (told === undefined) throw new Error(`unknown write outcome ${text}`);
  return told;
}
