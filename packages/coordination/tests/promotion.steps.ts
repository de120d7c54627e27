import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { GroupRecord, PromotionAction, PromotionEvent, PromotionState } from '../src/index.js';
import { advancePromotion, hostId, startPromotion, upstreamId } from '../src/index.js';
import { parseLineage, parseReports, recordWith } from './notation.js';

interface PromotionWorld {
  state: PromotionState;
  actions: PromotionAction[];
}

Given('a promotion of group {string} from term 1', function (this: PromotionWorld, ids: string) {
  begin(this, ids, 0);
});

When(
  'it is started again, with upstreams that are fenced at term {int}',
  function (this: PromotionWorld, fencedTerm: number) {
    begin(this, 'a, b, c', fencedTerm);
  },
);

Then('it claims term {int}', function (this: PromotionWorld, term: number) {
  assert.equal(this.state.record.term, term);
});

function begin(world: PromotionWorld, ids: string, fencedTerm: number): void {
  const step = startPromotion({
    record: recordWith(parseLineage('1:0')),
    revision: 7,
    fencedTerm,
    members: ids.split(', ').map(upstreamId),
    avoid: [upstreamId('a')],
    promoter: hostId('h'),
    attempt: 'mine',
  });
  world.state = step.state;
  world.actions = [...step.actions];
}

When('the events are {string}', function (this: PromotionWorld, events: string) {
  for (const text of events.split(', ')) {
    const step = advancePromotion(this.state, eventOf(text, this.state));
    this.state = step.state;
    this.actions.push(...step.actions);
  }
});

Then(
  'the attempt is {string} after the actions {string}',
  function (this: PromotionWorld, stage: string, actions: string) {
    assert.equal(this.state.stage, stage);
    assert.equal(this.actions.map(describe).join(', '), actions);
  },
);

Then(
  'the record written last names primary {string}, term {int} and lineage {string}',
  function (this: PromotionWorld, primary: string, term: number, lineage: string) {
    const swaps = this.actions.filter((action) => action.kind === 'swap');
    const record = swaps.at(-1)?.record;
    assert.equal(record?.primary, primary);
    assert.equal(record.term, term);
    assert.deepEqual(record.lineage, parseLineage(lineage));
  },
);

function describe(action: PromotionAction): string {
  return action.kind === 'promote' ? `promote ${action.upstream}` : action.kind;
}

function eventOf(text: string, state: PromotionState): PromotionEvent {
  const [kind = '', ...rest] = text.split(' ');
  switch (kind) {
    case 'read': {
      const rival: GroupRecord = { ...state.record, attempt: 'rival' };
      const record = rest[0] === 'mine' ? state.record : rival;
      return { kind: 'record-read', record, revision: 8 };
    }
    case 'fenced': {
      const [id = '', position = '', , at = '2'] = rest;
      return { kind: 'fenced', report: reportOf(`${id}:${position}!${at}`) };
    }
    case 'promoted':
      return { kind: 'promoted', report: reportOf(`${rest[0] ?? ''}*:2/9`) };
    default:
      return { kind } as PromotionEvent;
  }
}

function reportOf(text: string): ReturnType<typeof parseReports>[number] {
  const [report] = parseReports(text);
  if (report === undefined) throw new Error(`not a report: ${text}`);
  return report;
}
