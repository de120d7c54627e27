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
const COURSES = 300;

interface LimitWorld {
  limit: WorkspaceLimit;
  allowance: Allowance;
  granted: number[];
  retryAfterMs: number;
  share: LocalLimiter;
}

Given(
  'a limit of {int} a second and a burst of {int}, kept since {int} ms',
  function (this: LimitWorld, ratePerS: number, burst: number, since: number) {
    this.limit = { ratePerS, burst };
    this.allowance = initialAllowance(this.limit, TOLERANCE, since);
    this.granted = [];
  },
);

function ask(world: LimitWorld, asked: string): void {
  for (const question of asked.split(',')) {
    const [at = 0, wanted = 0] = question.split(':').map(Number);
    const grant = grantOperations(world.allowance, world.limit, TOLERANCE, wanted, at);
    world.allowance = grant.allowance;
    world.granted.push(grant.granted);
    world.retryAfterMs = grant.retryAfterMs;
  }
}

When('operations are asked for at {string}', function (this: LimitWorld, asked: string) {
  ask(this, asked);
});

When(
  'operations are asked for at {string}, the limit becomes {int} and {int}, and they are asked for at {string}',
  function (this: LimitWorld, before: string, ratePerS: number, burst: number, after: string) {
    ask(this, before);
    this.limit = { ratePerS, burst };
    ask(this, after);
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
  this.share = new LocalLimiter(WINDOW_MS);
  if (admitted === 'none') return;
  for (const at of admitted.split(',')) this.share.recordAdmission(Number(at));
});

Then(
  'on its own it admits {int} of {int} operations that come evenly from {int} to {int} ms',
  function (this: LimitWorld, alone: number, count: number, from: number, to: number) {
    let admitted = 0;
    for (let index = 0; index < count; index += 1) {
      const now = from + ((to - from) * index) / count;
      if (!this.share.canAdmit(now)) continue;
      this.share.recordAdmission(now);
      admitted += 1;
    }
    assert.equal(admitted, alone);
  },
);

/** What may go wrong on purpose. */
enum Mistake {
  None = 'none',
  FreshBurst = 'a keeper that begins grants the burst',
  KeptLevel = 'a lowered limit leaves the bucket as it is',
  CutOffKeeper = 'a keeper that is cut off goes on',
}

const MISTAKES: ReadonlyMap<string, Mistake> = new Map(
  Object.values(Mistake).map((mistake) => [mistake, mistake]),
);

/** One step of a course: what happens, and the time until then. */
interface CourseStep {
  readonly what: 'flood' | 'kill' | 'replace';
  readonly afterMs: number;
  readonly operations: number;
}

const COURSE = fc.array(
  fc.record({
    what: fc.constantFrom('flood' as const, 'flood' as const, 'kill', 'replace'),
    afterMs: fc.integer({ min: 0, max: 1000 }),
    operations: fc.integer({ min: 0, max: 500 }),
  }),
  { minLength: 1, maxLength: 40 },
);
/** The step before which the limit is lowered; mostly never. */
const LOWERED_BEFORE = fc.integer({ min: 0, max: 80 });

const FULL: WorkspaceLimit = { ratePerS: 50, burst: 50 };
const LOWERED: WorkspaceLimit = { ratePerS: 5, burst: 5 };
/** A keeper is replaced at most this often in one window; more of them at once is a lost zone. */
const CHANGES_PER_WINDOW = 2;

/** Plays one course against the keepers of one workspace. */
class Course {
  /** Operations run, as time and number. */
  readonly runs: { readonly at: number; readonly count: number }[] = [];
  private limit = FULL;
  private loweredAt = Number.POSITIVE_INFINITY;
  private now = 60_000;
  private keeper: Allowance;
  /** A former keeper that still grants, which only a mistake leaves. */
  private former: Allowance | undefined;
  private readonly changes: number[] = [];

  constructor(private readonly mistake: Mistake) {
    this.keeper = initialAllowance(FULL, TOLERANCE, 0);
  }

  play(steps: readonly CourseStep[], loweredBefore: number): void {
    for (const [index, step] of steps.entries()) {
      if (index === loweredBefore) this.lower();
      this.now += step.afterMs;
      if (step.what === 'flood') this.flood(step.operations);
      if (step.what === 'kill' || step.what === 'replace') this.change(step.what === 'replace');
    }
  }

  /** Time at which some window holds more than allowed; undefined when none does. */
  overrunAt(): number | undefined {
    return this.runs.find(({ at }) => {
      const inWindow = this.runs.filter((run) => run.at > at - WINDOW_MS && run.at <= at);
      const total = inWindow.reduce((sum, run) => sum + run.count, 0);
      return total > this.allowedAt(at);
    })?.at;
  }

  /** A lowered limit binds a window after it is known everywhere. */
  private allowedAt(at: number): number {
    const limit = at - WINDOW_MS > this.loweredAt ? LOWERED : FULL;
    return limit.ratePerS * TOLERANCE.windowS + limit.burst + tolerancePerWindow(limit, TOLERANCE);
  }

  private flood(operations: number): void {
    this.keeper = this.grant(this.keeper, operations);
    if (this.former !== undefined) this.former = this.grant(this.former, operations);
  }

  private grant(allowance: Allowance, operations: number): Allowance {
    const limit = this.mistake === Mistake.KeptLevel ? FULL : this.limit;
    const grant = grantOperations(allowance, limit, TOLERANCE, operations, this.now);
    this.runs.push({ at: this.now, count: grant.granted });
    return grant.allowance;
  }

  private change(isReplaced: boolean): void {
    const recent = this.changes.filter((at) => at > this.now - WINDOW_MS);
    if (recent.length >= CHANGES_PER_WINDOW) return;
    this.changes.push(this.now);
    if (isReplaced && this.mistake === Mistake.CutOffKeeper) this.former = this.keeper;
    this.keeper = initialAllowance(this.limit, TOLERANCE, this.now);
    if (this.mistake !== Mistake.FreshBurst) return;
    this.keeper = { ...this.keeper, level: this.keeper.level + this.limit.burst };
  }

  private lower(): void {
    this.limit = LOWERED;
    this.loweredAt = this.now;
  }
}

function check(mistake: Mistake): fc.RunDetails<[CourseStep[], number]> {
  const property = fc.property(COURSE, LOWERED_BEFORE, (steps, loweredBefore) => {
    const course = new Course(mistake);
    course.play(steps, loweredBefore);
    assert.equal(course.overrunAt(), undefined);
  });
  return fc.check(property, { seed: SEED, numRuns: COURSES });
}

Given(
  'any course of floods, keepers that are killed or replaced, and limits that are lowered',
  function () {
    assert.equal(MS_PER_SECOND * TOLERANCE.windowS, WINDOW_MS);
  },
);

Then('in no window more is run than allowed', function () {
  const details = check(Mistake.None);
  assert.equal(details.failed, false, JSON.stringify(details.counterexample));
});

Then('with the mistake {string} some course runs more than allowed', function (mistake: string) {
  const found = MISTAKES.get(mistake);
  assert.ok(found);
  assert.equal(check(found).failed, true);
});
