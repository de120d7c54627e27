import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import type { Allowance, LimitTolerance, WorkspaceLimit } from '../src/index.js';
import {
  initialAllowance,
  LocalLimiter,
  grantOperations,
  tolerancePerWindow,
} from '../src/index.js';

const MS_PER_SECOND = 1000;
const WINDOW_MS = 5000;
const TOLERANCE: LimitTolerance = { windowS: 5, overrun: 0.1, slack: 20 };
const SEED = 20_261;
const RUNS = 300;

interface LimitWorld {
  limit: WorkspaceLimit;
  allowance: Allowance;
  granted: number[];
  retryAfterMs: number;
  limiter: LocalLimiter;
}

Given(
  'a limit of {int} a second and a burst of {int}, refilled since {int} ms',
  function (this: LimitWorld, ratePerS: number, burst: number, since: number) {
    this.limit = { ratePerS, burst };
    this.allowance = initialAllowance(this.limit, TOLERANCE, since);
    this.granted = [];
  },
);

function request(world: LimitWorld, asked: string): void {
  for (const question of asked.split(',')) {
    const [at = 0, wanted = 0] = question.split(':').map(Number);
    const grant = grantOperations(world.allowance, world.limit, TOLERANCE, wanted, at);
    world.allowance = grant.allowance;
    world.granted.push(grant.granted);
    world.retryAfterMs = grant.retryAfterMs;
  }
}

When('operations are requested at {string}', function (this: LimitWorld, asked: string) {
  request(this, asked);
});

When(
  'operations are requested at {string}, the limit becomes {int} and {int}, and they are requested at {string}',
  function (this: LimitWorld, before: string, ratePerS: number, burst: number, after: string) {
    request(this, before);
    this.limit = { ratePerS, burst };
    request(this, after);
  },
);

Then(
  '{string} are granted, and the next one in {int} ms',
  function (this: LimitWorld, granted: string, waitMs: number) {
    assert.equal(this.granted.join(','), granted);
    assert.equal(this.retryAfterMs, waitMs);
  },
);

Given('a host that admitted operations at {string}', function (this: LimitWorld, admitted: string) {
  this.limiter = new LocalLimiter(WINDOW_MS);
  if (admitted === 'none') return;
  for (const at of admitted.split(',')) this.limiter.recordAdmission(Number(at));
});

Then(
  'on its own it admits {int} of {int} operations that arrive evenly from {int} to {int} ms',
  function (this: LimitWorld, alone: number, count: number, from: number, to: number) {
    let admitted = 0;
    for (let index = 0; index < count; index += 1) {
      const now = from + ((to - from) * index) / count;
      if (!this.limiter.canAdmit(now)) continue;
      this.limiter.recordAdmission(now);
      admitted += 1;
    }
    assert.equal(admitted, alone);
  },
);

/** Deliberate mistakes, by their names in the feature table. */
enum Mistake {
  None = 'none',
  BurstOnTakeover = 'a keeper that begins grants the burst',
  KeepLevel = 'a lowered limit leaves the bucket as it is',
  IsolatedOwner = 'a keeper that is cut off goes on',
}

const MISTAKES: ReadonlyMap<string, Mistake> = new Map(
  Object.values(Mistake).map((mistake) => [mistake, mistake]),
);

/** One step of a sequence: an event and the time until it. */
interface SequenceStep {
  readonly what: 'flood' | 'kill' | 'replace';
  readonly afterMs: number;
  readonly operations: number;
}

const STEPS = fc.array(
  fc.record({
    what: fc.constantFrom('flood' as const, 'flood' as const, 'kill', 'replace'),
    afterMs: fc.integer({ min: 0, max: 1000 }),
    operations: fc.integer({ min: 0, max: 500 }),
  }),
  { minLength: 1, maxLength: 40 },
);
/** Index of the step before which the limit is lowered; mostly beyond the end of the sequence. */
const LOWERED_BEFORE = fc.integer({ min: 0, max: 80 });

const FULL: WorkspaceLimit = { ratePerS: 50, burst: 50 };
const LOWERED: WorkspaceLimit = { ratePerS: 5, burst: 5 };
/** Maximum number of changes of owner in one window; more of them at once mean the loss of a zone. */
const CHANGES_PER_WINDOW = 2;

/** Runs one sequence against the owners of one workspace's allowance. */
class Sequence {
  /** Operations that were run, as time and number. */
  readonly runs: { readonly at: number; readonly count: number }[] = [];
  private limit = FULL;
  private loweredAt = Number.POSITIVE_INFINITY;
  private now = 60_000;
  private owner: Allowance;
  /** A former owner that still grants operations; exists only with `Mistake.IsolatedOwner`. */
  private formerOwner: Allowance | undefined;
  private readonly changes: number[] = [];

  constructor(private readonly mistake: Mistake) {
    this.owner = initialAllowance(FULL, TOLERANCE, 0);
  }

  play(steps: readonly SequenceStep[], loweredBefore: number): void {
    for (const [index, step] of steps.entries()) {
      if (index === loweredBefore) this.lower();
      this.now += step.afterMs;
      if (step.what === 'flood') this.flood(step.operations);
      if (step.what === 'kill' || step.what === 'replace') this.change(step.what === 'replace');
    }
  }

  /** End of a window with more operations than allowed; undefined if there is none. */
  overrunAt(): number | undefined {
    return this.runs.find(({ at }) => {
      const inWindow = this.runs.filter((run) => run.at > at - WINDOW_MS && run.at <= at);
      const total = inWindow.reduce((sum, run) => sum + run.count, 0);
      return total > this.allowedAt(at);
    })?.at;
  }

  /** A lowered limit applies only to windows that begin after the change. */
  private allowedAt(at: number): number {
    const limit = at - WINDOW_MS > this.loweredAt ? LOWERED : FULL;
    return limit.ratePerS * TOLERANCE.windowS + limit.burst + tolerancePerWindow(limit, TOLERANCE);
  }

  private flood(operations: number): void {
    this.owner = this.grant(this.owner, operations);
    if (this.formerOwner !== undefined) this.formerOwner = this.grant(this.formerOwner, operations);
  }

  private grant(allowance: Allowance, operations: number): Allowance {
    const limit = this.mistake === Mistake.KeepLevel ? FULL : this.limit;
    const grant = grantOperations(allowance, limit, TOLERANCE, operations, this.now);
    this.runs.push({ at: this.now, count: grant.granted });
    return grant.allowance;
  }

  private change(isReplaced: boolean): void {
    const recent = this.changes.filter((at) => at > this.now - WINDOW_MS);
    if (recent.length >= CHANGES_PER_WINDOW) return;
    this.changes.push(this.now);
    if (isReplaced && this.mistake === Mistake.IsolatedOwner) this.formerOwner = this.owner;
    this.owner = initialAllowance(this.limit, TOLERANCE, this.now);
    if (this.mistake !== Mistake.BurstOnTakeover) return;
    this.owner = { ...this.owner, level: this.owner.level + this.limit.burst };
  }

  private lower(): void {
    this.limit = LOWERED;
    this.loweredAt = this.now;
  }
}

function check(mistake: Mistake): fc.RunDetails<[SequenceStep[], number]> {
  const property = fc.property(STEPS, LOWERED_BEFORE, (steps, loweredBefore) => {
    const sequence = new Sequence(mistake);
    sequence.play(steps, loweredBefore);
    assert.equal(sequence.overrunAt(), undefined);
  });
  return fc.check(property, { seed: SEED, numRuns: RUNS });
}

Given(
  'any sequence of floods, owners that fail or are replaced, and limits that are lowered',
  function () {
    assert.equal(MS_PER_SECOND * TOLERANCE.windowS, WINDOW_MS);
  },
);

Then('in no window more is run than allowed', function () {
  const details = check(Mistake.None);
  assert.equal(details.failed, false, JSON.stringify(details.counterexample));
});

Then('with the mistake {string} some sequence runs more than allowed', function (mistake: string) {
  const found = MISTAKES.get(mistake);
  assert.ok(found);
  assert.equal(check(found).failed, true);
});
