/**
 * A random history of one group in simulated time: sessions, homes and boards are real; upstreams, the store and the
 * network are a model in which everything may be late.
 */
import type { Position, PrimaryRecord, RandomSource, UpstreamId } from '@gladespool/coordination';
import {
  Access,
  azId,
  comparePositions,
  Consistency,
  DEFAULT_AUTHORITY,
  groupId,
  hostId,
  ORIGIN,
  RecordPhase,
  RefusalReason,
  SeededRandom,
  UpstreamFault,
  upstreamId,
} from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import type { FrameOf } from '@gladespool/protocol';
import { ForwardOperation, FrameKind } from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { decodeJob, encodeTimes } from '../../src/forward/forward-frames.js';
import { planRead } from '../../src/home/read-plan.js';
import type {
  BeginJob,
  Executor,
  Job,
  OpenTransaction,
  Outcome,
  Route,
  Statement,
  StatementJob,
  UpstreamAnswer,
} from '../../src/index.js';
import {
  GatewayBoard,
  GroupHome,
  ReportedRole,
  RequestRecorder,
  Session,
  SessionState,
  StatementKind,
  UNLIMITED,
} from '../../src/index.js';
import { accessOf } from '../../src/model/statement.js';
import { FakeDriver, FakeGroup } from './fake-group.js';
import { homeContext } from './fake-home.js';

const GROUP = groupId('g1');
const UPSTREAMS = 3;
const HOSTS = 3;
const SESSIONS_A_ROUTE = 3;
/** Duration of one history, milliseconds. */
const LASTS_MS = 8000;
/** Interval between two reads of the store by a host, milliseconds. */
const PROOF_INTERVAL_MS = 300;
/** Pause before work that found no upstream is planned again, and the number of times that it is. */
const RETRY_MS = 25;
const MAX_TRIES = 40;
/** Share of deliveries that are late, and by how much at most, milliseconds. */
const LATE_SHARE = 0.03;
const LATE_MS = 2500;
const USUAL_MS = 15;
/** Share of disturbances that cut a host off; the others stop one. */
const CUT_SHARE = 0.3;
/** Share of operations that the entry host runs itself. */
const OWN_HOME_SHARE = 0.8;
/** Time after a promotion at which a former primary follows the new one at the latest, milliseconds. */
const FOLLOW_MS = 1000;
const LAG_MS = 40;

const BOUNDS_MS: ReadonlyMap<Consistency, number> = new Map([
  [Consistency.Primary, 0],
  [Consistency.BoundedStaleness, 400],
  [Consistency.ReadYourWrites, 1500],
]);

interface Commit {
  readonly term: number;
  /** Number of commits up to and including this one. */
  readonly number: number;
  readonly session: number;
  /** Whether a promotion has discarded it, or it was made by a deposed primary. */
  isDiscarded: boolean;
  wasDeposed: boolean;
  ackedAt: number | undefined;
}

/** An upstream: one log, all of which its reads show. */
interface ModelUpstream {
  readonly id: UpstreamId;
  log: readonly Commit[];
  term: number;
  isPrimary: boolean;
  /** Time until which it receives nothing from the primary. */
  deafUntil: number;
}

interface ModelHost {
  readonly board: GatewayBoard;
  readonly home: GroupHome;
  /** Local time less the time of the history: the clocks of hosts have different origins. */
  readonly offset: number;
  pausedUntil: number;
  /** Time until which neither the store nor other hosts reach it, though callers and upstreams do. */
  cutUntil: number;
}

interface ModelSession {
  readonly number: number;
  readonly route: Route;
  readonly session: Session;
  readonly entry: ModelHost;
  /** Time of the first byte of the statement, or of its transaction. */
  firstByteAt: number;
  isBusy: boolean;
}

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** What a history has shown. */
export interface HistoryResult {
  readonly reads: number;
  readonly promotions: number;
  /** Reads that missed a commit that they had to see. */
  readonly missed: readonly string[];
  /** Commits that were confirmed although another upstream led. */
  readonly deposed: readonly string[];
}

/** Plays one history. */
export class ReadHistory {
  private now = 0;
  private order = 0;
  private readonly events: Event[] = [];
  private readonly random: RandomSource;
  private readonly upstreams: readonly ModelUpstream[];
  private readonly hosts: readonly ModelHost[];
  private readonly sessions: readonly ModelSession[];
  private readonly commits: Commit[] = [];
  private readonly ran: { readonly text: string; readonly missed: Commit }[] = [];
  private reads = 0;
  private promotions = 0;
  private isChanging = false;
  private stored: PrimaryRecord = {
    group: GROUP,
    epoch: 1,
    phase: RecordPhase.Serving,
    primary: upstreamId('u0'),
    holder: hostId('h0'),
  };

  /** @param untoldShare share of the upstreams' answers that tell no position */
  constructor(
    seed: number,
    private readonly untoldShare: number,
  ) {
    this.random = new SeededRandom(seed);
    this.upstreams = Array.from({ length: UPSTREAMS }, (_, index) => ({
      id: upstreamId(`u${index}`),
      log: [],
      term: 1,
      isPrimary: index === 0,
      deafUntil: 0,
    }));
    this.hosts = Array.from({ length: HOSTS }, (_, index) => this.createHost(index));
    this.sessions = [...BOUNDS_MS.keys()].flatMap((consistency, kind) =>
      Array.from({ length: SESSIONS_A_ROUTE }, (_, index) =>
        this.createSession(kind * SESSIONS_A_ROUTE + index, consistency),
      ),
    );
  }

  async play(): Promise<HistoryResult> {
    for (const each of this.hosts) this.renewProof(each);
    for (const each of this.sessions) this.later(this.upTo(50), () => void this.operate(each));
    for (let at = 500; at < LASTS_MS; at += 700 + this.upTo(1500)) {
      this.later(at, () => {
        this.changePrimary();
      });
    }
    for (let at = 300; at < LASTS_MS; at += 300 + this.upTo(600)) {
      this.later(at, () => {
        this.disturb();
      });
    }
    for (let event = this.next(); event !== undefined; event = this.next()) {
      this.now = event.at;
      event.run();
      await new Promise((resolve) => setImmediate(resolve));
    }
    for (const { session } of this.sessions) session.close();
    const missed = this.ran.filter((read) => !read.missed.isDiscarded);
    const deposed = this.commits.filter((each) => each.wasDeposed && each.ackedAt !== undefined);
    return {
      reads: this.reads,
      promotions: this.promotions,
      missed: missed.map(({ text }) => text),
      deposed: deposed.map(({ term, number }) => `${term}.${number}`),
    };
  }

  private createHost(index: number): ModelHost {
    const board = new GatewayBoard(hostId(`h${index}`), azId(`z${index}`));
    const entries = this.upstreams.map(({ id }, zone) => ({
      id,
      group: GROUP,
      address: '127.0.0.1',
      port: 1,
      az: azId(`z${zone}`),
      role: zone === 0 ? ReportedRole.Primary : ReportedRole.Replica,
      slots: 4,
      draining: false,
    }));
    board.putUpstreams(new Map(entries.map((entry) => [entry.id, entry])));
    const home = new GroupHome(GROUP, homeContext(board, new FakeDriver(new FakeGroup())));
    return { board, home, offset: 1000 * index, pausedUntil: 0, cutUntil: 0 };
  }

  private createSession(number: number, consistency: Consistency): ModelSession {
    const entry = this.hostAt(number);
    const route: Route = {
      database: `db${number}`,
      group: GROUP,
      consistency,
      maxStalenessMs: BOUNDS_MS.get(consistency) ?? 0,
      timeoutMs: LASTS_MS,
      targetLatencyMs: 200,
      priority: 1,
      isPublic: true,
    };
    const { board } = entry;
    const routes = new Map([...(board.catalog?.routes ?? []), [route.database, route] as const]);
    board.putCatalog({
      version: number + 1,
      routes,
      groups: new Map(),
      keys: undefined,
      workspaces: new Map(),
      transactionIdleMs: LASTS_MS,
    });
    const session = new Session(route.database, '', {
      board,
      executor: this.executorOf(number),
      limits: UNLIMITED,
      keys: { unconfirmedTtlMs: undefined },
      recorder: new RequestRecorder(board, new HostMetrics(), createLogger('test')),
    });
    return { number, route, session, entry, firstByteAt: 0, isBusy: false };
  }

  private next(): Event | undefined {
    this.events.sort((a, b) => a.at - b.at || a.order - b.order);
    return this.events.shift();
  }

  private later(delayMs: number, run: () => void): void {
    this.order += 1;
    this.events.push({ at: this.now + Math.max(0, delayMs), order: this.order, run });
  }

  /** Time that a message takes: mostly short, now and then as long as a process stands still. */
  private transit(): number {
    return this.random.unit() < LATE_SHARE ? this.upTo(LATE_MS) : 1 + this.upTo(USUAL_MS);
  }

  /** Delivers a message to a host, which handles it once it runs. */
  private deliver(host: ModelHost, run: () => void, delayMs = this.transit()): void {
    this.later(delayMs, () => {
      if (host.pausedUntil > this.now) this.deliver(host, run, host.pausedUntil - this.now);
      else run();
    });
  }

  /** Delivers a message of the store or of another host, unless the host is cut off. */
  private deliverNews(host: ModelHost, run: () => void): void {
    this.deliver(host, () => {
      if (host.cutUntil <= this.now) run();
    });
  }

  /** Cuts a host off, or stops one while an upstream receives nothing. */
  private disturb(): void {
    const host = this.hostAt(this.upTo(HOSTS));
    const until = this.now + this.upTo(LATE_MS);
    if (this.random.unit() < CUT_SHARE) {
      host.cutUntil = until;
      return;
    }
    // A host that stands still for less than the life of a proof goes on with what it holds.
    host.pausedUntil = this.now + this.upTo(DEFAULT_AUTHORITY.proofTtlMs);
    const deaf = this.upstreams[this.upTo(UPSTREAMS)];
    if (deaf !== undefined) deaf.deafUntil = until;
  }

  private upTo(limit: number): number {
    return Math.floor(this.random.unit() * limit);
  }

  private hostAt(index: number): ModelHost {
    const found = this.hosts[index % HOSTS];
    if (found === undefined) throw new Error(`no host ${index}`);
    return found;
  }

  private localTime({ offset }: ModelHost): number {
    return this.now + offset;
  }

  private renewProof(host: ModelHost): void {
    if (this.now >= LASTS_MS) return;
    this.deliver(host, () => {
      const sentAt = this.localTime(host);
      this.later(this.transit(), () => {
        const record = this.stored;
        this.deliverNews(host, () => {
          host.board.putRecord(record);
          host.board.recordProof(sentAt);
        });
      });
      this.passProofOn(host, this.hostAt(this.upTo(HOSTS)));
      this.later(PROOF_INTERVAL_MS, () => {
        this.renewProof(host);
      });
    });
  }

  /** A host asks another one for its proof, whose age the answer tells. */
  private passProofOn(asking: ModelHost, asked: ModelHost): void {
    const askedAt = this.localTime(asking);
    this.deliverNews(asked, () => {
      const ageMs = this.localTime(asked) - asked.board.latestProofAt;
      const record = asked.board.record(GROUP);
      this.deliverNews(asking, () => {
        if (record !== undefined) asking.board.putRecord(record);
        if (Number.isFinite(ageMs)) asking.board.recordProof(askedAt - ageMs);
      });
    });
  }

  /** Claims the record, waits until each host has acknowledged or its proof has expired, and names a primary. */
  private changePrimary(): void {
    if (this.isChanging) return;
    this.isChanging = true;
    const former = this.stored;
    const claim = { ...former, epoch: former.epoch + 1, phase: RecordPhase.Claimed };
    this.stored = claim;
    const silent = new Set(this.hosts);
    let isRevoked = false;
    const revoked = (): void => {
      if (isRevoked) return;
      isRevoked = true;
      this.nameNext(claim);
    };
    for (const host of this.hosts) {
      this.deliverNews(host, () => {
        host.board.putRecord(claim);
        this.later(this.transit(), () => {
          silent.delete(host);
          if (silent.size === 0) revoked();
        });
      });
    }
    this.later(DEFAULT_AUTHORITY.proofTtlMs + DEFAULT_AUTHORITY.marginMs, revoked);
  }

  private nameNext(claim: PrimaryRecord): void {
    const keeps = this.random.unit() < 0.2;
    const replicas = this.upstreams.filter(({ id }) => id !== claim.primary);
    const next = keeps ? this.upstreamOf(claim.primary) : replicas[this.upTo(replicas.length)];
    if (next === undefined) throw new Error('no successor');
    this.later(this.transit(), () => {
      if (!keeps) this.lead(next);
      this.later(this.transit(), () => {
        this.stored = { ...claim, phase: RecordPhase.Serving, primary: next.id };
        this.isChanging = false;
      });
    });
  }

  private lead(next: ModelUpstream): void {
    this.promotions += 1;
    next.term = Math.max(...this.upstreams.map(({ term }) => term)) + 1;
    next.isPrimary = true;
    for (const commit of this.commits) {
      if (next.log[commit.number - 1] !== commit) commit.isDiscarded = true;
    }
    const { term } = next;
    for (const other of this.upstreams) {
      if (other === next) continue;
      this.later(this.upTo(FOLLOW_MS), () => {
        if (other.term >= term) return;
        other.term = term;
        other.isPrimary = false;
        const shared = other.log.findIndex((commit, index) => next.log[index] !== commit);
        other.log = shared < 0 ? other.log : other.log.slice(0, shared);
        this.later(this.upTo(LAG_MS), () => {
          this.receive(other, next.log, term);
        });
      });
    }
  }

  private receive(replica: ModelUpstream, log: readonly Commit[], term: number): void {
    if (replica.deafUntil > this.now) {
      this.later(replica.deafUntil - this.now, () => {
        this.receive(replica, log, term);
      });
      return;
    }
    if (replica.term !== term || replica.isPrimary || log.length <= replica.log.length) return;
    replica.log = log;
  }

  private upstreamOf(id: UpstreamId): ModelUpstream | undefined {
    return this.upstreams.find((upstream) => upstream.id === id);
  }

  /** Runs one operation of a session after another. */
  private async operate(caller: ModelSession): Promise<void> {
    if (this.now >= LASTS_MS) return;
    const dice = this.random.unit();
    if (dice < 0.25) await this.ask(caller, statementOf(Access.Write));
    else if (dice < 0.8) await this.ask(caller, statementOf(Access.Read));
    else {
      await this.ask(caller, { kind: StatementKind.Begin, readOnly: true });
      for (let count = this.upTo(4); count >= 0 && isOpen(caller); count -= 1) {
        await this.ask(caller, statementOf(Access.Read), caller.firstByteAt);
      }
      await this.ask(caller, { kind: StatementKind.Rollback }, caller.firstByteAt);
    }
    this.later(this.upTo(80), () => void this.operate(caller));
  }

  /** Sends one statement; resolves when the caller has its answer. */
  private async ask(
    caller: ModelSession,
    statement: Statement,
    firstByteAt = this.now,
  ): Promise<void> {
    caller.firstByteAt = firstByteAt;
    const before = this.commits.length;
    await new Promise<void>((resolve) => {
      this.deliver(caller.entry, () => {
        const arrivedAt = this.localTime(caller.entry);
        void caller.session.handle('1', statement, arrivedAt).then(({ outcome }) => {
          if (outcome.kind === 'completed') this.acknowledge(caller, before);
          resolve();
        });
      });
    });
  }

  private acknowledge(caller: ModelSession, before: number): void {
    const own = this.commits.slice(before).filter(({ session }) => session === caller.number);
    for (const commit of own) commit.ackedAt = this.now;
  }

  private executorOf(number: number): Executor {
    const callerOf = (): ModelSession => {
      const caller = this.sessions[number];
      if (caller === undefined) throw new Error(`no session ${number}`);
      return caller;
    };
    return {
      run: (job) => this.forward(callerOf(), job),
      begin: (job) => this.begin(callerOf(), job),
    };
  }

  /** The host that runs an operation: mostly the entry host, so that one that stands still does not hold up everybody. */
  private homeFor({ entry }: ModelSession): ModelHost {
    return this.random.unit() < OWN_HOME_SHARE ? entry : this.hostAt(this.upTo(HOSTS));
  }

  /** Runs a statement; resolves when its outcome is back at the entry host. */
  private forward(caller: ModelSession, job: StatementJob): Promise<Outcome> {
    const home = this.homeFor(caller);
    return new Promise((resolve) => {
      const reply = (outcome: Outcome): void => {
        this.deliver(caller.entry, () => {
          resolve(outcome);
        });
      };
      this.send(caller, home, job, (there) => {
        if (accessOf(job.work) === Access.Write) this.write(caller, home, there, reply, 0);
        else {
          const run = (upstream: ModelUpstream): void => {
            this.noteRead(caller, upstream);
          };
          this.read(home, there, run, reply, 0);
        }
      });
    });
  }

  private begin(caller: ModelSession, job: BeginJob): Promise<Result<OpenTransaction, Outcome>> {
    const home = this.homeFor(caller);
    return new Promise((resolve) => {
      this.send(caller, home, job, (there) => {
        let pinned: ModelUpstream | undefined;
        const run = (upstream: ModelUpstream): void => {
          pinned = upstream;
        };
        const reply = (outcome: Outcome): void => {
          this.deliver(caller.entry, () => {
            const isOpened = outcome.kind === 'completed' && pinned !== undefined;
            resolve(isOpened ? ok(this.transactionOn(caller, pinned)) : err(outcome));
          });
        };
        this.read(home, there, run, reply, 0);
      });
    });
  }

  private transactionOn(
    caller: ModelSession,
    upstream: ModelUpstream | undefined,
  ): OpenTransaction {
    const run = (): Promise<Outcome> =>
      new Promise((resolve) => {
        this.later(this.transit(), () => {
          if (upstream !== undefined) this.noteRead(caller, upstream);
          this.deliver(caller.entry, () => {
            resolve(ROWS);
          });
        });
      });
    return { run, commit: run, rollback: () => undefined };
  }

  /** Hands a job to a host, by the frames of forwarded work unless it is the entry host itself. */
  private send(
    { entry }: ModelSession,
    home: ModelHost,
    job: Job,
    accept: (job: Job) => void,
  ): void {
    if (home === entry) {
      accept(job);
      return;
    }
    const frame: FrameOf<FrameKind.ForwardRequest> = {
      kind: FrameKind.ForwardRequest,
      id: 1,
      operation: ForwardOperation.Run,
      request: job.id,
      transaction: 0,
      readOnly: false,
      ...encodeTimes(job, this.localTime(entry)),
      ...(job.own && { own: job.own }),
    };
    this.deliver(home, () => {
      accept(decodeJob(frame, job.route, this.localTime(home)));
    });
  }

  private read(
    host: ModelHost,
    job: Job,
    run: (upstream: ModelUpstream) => void,
    reply: (outcome: Outcome) => void,
    tries: number,
  ): void {
    const retry = (): void => {
      if (tries >= MAX_TRIES) reply(REFUSED);
      else
        this.deliver(
          host,
          () => {
            this.read(host, job, run, reply, tries + 1);
          },
          RETRY_MS,
        );
    };
    if (this.random.unit() < 0.1) this.fetchWatermark(host);
    const { home } = host;
    const planned = planRead(home, job, new Set(), this.localTime(host));
    if (planned.isErr()) {
      retry();
      return;
    }
    const { entry, bound, needsAuthority } = planned.value;
    const after = needsAuthority ? home.knownPosition(home.record) : bound?.after;
    this.exchange(
      host,
      entry.id,
      (upstream) => {
        if (after !== undefined && !holds(upstream, after)) return UpstreamFault.Lagging;
        run(upstream);
        return undefined;
      },
      (fault, isValid) => {
        if (fault !== undefined || (needsAuthority && !isValid)) retry();
        else reply(ROWS);
      },
    );
  }

  private write(
    caller: ModelSession,
    host: ModelHost,
    job: Job,
    reply: (outcome: Outcome) => void,
    tries: number,
  ): void {
    const { home } = host;
    const { record } = home;
    if (record === undefined || !home.hasAuthority(this.localTime(host))) {
      const again = (): void => {
        this.write(caller, host, job, reply, tries + 1);
      };
      if (tries >= MAX_TRIES) reply(REFUSED);
      else this.deliver(host, again, RETRY_MS);
      return;
    }
    this.exchange(
      host,
      record.primary,
      (upstream) => {
        if (!upstream.isPrimary) return UpstreamFault.ReadOnly;
        this.commit(upstream, caller);
        return undefined;
      },
      (fault, isValid, position) => {
        if (fault !== undefined || !isValid) reply(REFUSED);
        else reply({ ...ROWS, committed: position && { epoch: record.epoch, position } });
      },
    );
  }

  /** Sends a command to an upstream under the record in force, and takes a watermark from the answer. */
  private exchange(
    host: ModelHost,
    id: UpstreamId,
    run: (upstream: ModelUpstream) => UpstreamFault | undefined,
    onAnswer: (
      fault: UpstreamFault | undefined,
      isValid: boolean,
      position: Position | undefined,
    ) => void,
  ): void {
    const { home } = host;
    const { record } = home;
    const upstream = this.upstreamOf(id);
    if (record === undefined || upstream === undefined) return;
    const sentAt = this.localTime(host);
    this.later(this.transit(), () => {
      const fault = run(upstream);
      const isTold = this.random.unit() >= this.untoldShare;
      const position = isTold ? positionOf(upstream) : undefined;
      this.deliver(host, () => {
        const now = this.localTime(host);
        const answer: UpstreamAnswer =
          fault === undefined
            ? { kind: 'completed', rows: [], signature: 's', position }
            : { kind: 'faulted', fault, code: '', text: '', position };
        if (record.primary === id) home.recordWatermark(record, sentAt, answer, now);
        onAnswer(fault, home.isAnswerValid(record, id, now), position);
      });
    });
  }

  /** Fetches the newest watermark of another host. */
  private fetchWatermark(host: ModelHost): void {
    const { record } = host.home;
    const other = this.hostAt(this.upTo(HOSTS));
    if (record === undefined || other === host) return;
    const askedAt = this.localTime(host);
    this.deliver(other, () => {
      const { newest, currentEpoch } = other.home.marks;
      if (newest === undefined || currentEpoch !== record.epoch) return;
      const ageMs = this.localTime(other) - newest.sentAt;
      this.deliver(host, () => {
        const watermark = { sentAt: askedAt - ageMs, position: newest.position };
        host.home.addWatermark(record, watermark, this.localTime(host));
      });
    });
  }

  private commit(primary: ModelUpstream, { number: session }: ModelSession): void {
    const newest = Math.max(...this.upstreams.map(({ term }) => term));
    const wasDeposed = primary.term < newest;
    const commit = {
      term: primary.term,
      number: primary.log.length + 1,
      session,
      isDiscarded: wasDeposed,
      wasDeposed,
      ackedAt: undefined,
    };
    this.commits.push(commit);
    primary.log = [...primary.log, commit];
    const { log, term } = primary;
    for (const replica of this.upstreams) {
      if (replica === primary) continue;
      this.later(this.upTo(LAG_MS), () => {
        this.receive(replica, log, term);
      });
    }
  }

  /** Checks a read where it runs. */
  private noteRead({ number, route, firstByteAt }: ModelSession, upstream: ModelUpstream): void {
    this.reads += 1;
    const isOwnShown = route.consistency === Consistency.ReadYourWrites;
    const missed = this.commits.filter((commit) => {
      if (commit.ackedAt === undefined || commit.isDiscarded) return false;
      const isOld = commit.ackedAt < firstByteAt - route.maxStalenessMs;
      const isOwn = isOwnShown && commit.session === number && commit.ackedAt < firstByteAt;
      return (isOld || isOwn) && upstream.log[commit.number - 1] !== commit;
    });
    for (const commit of missed) {
      const what = `${route.consistency} read of session ${number} at ${this.now} on ${upstream.id}`;
      const text = `${what} missed ${commit.term}.${commit.number} of ${commit.ackedAt}`;
      this.ran.push({ text, missed: commit });
    }
  }
}

const ROWS = { kind: 'completed', rows: ['r'], signature: 's', committed: undefined } as const;
const REFUSED: Outcome = {
  kind: 'refused',
  refusal: { reason: RefusalReason.AuthorityLapsed, detail: '' },
};

function statementOf(access: Access): Statement {
  const text = access === Access.Read ? 'READ x' : 'WRITE x 1';
  return { kind: StatementKind.Run, access, text };
}

function isOpen({ session }: ModelSession): boolean {
  return session.state === SessionState.Open;
}

/** Position of an upstream: that of its latest commit. */
function positionOf({ log }: ModelUpstream): Position {
  const last = log.at(-1);
  return last === undefined ? ORIGIN : { term: last.term, offset: last.number };
}

function holds({ log }: ModelUpstream, position: Position): boolean {
  if (comparePositions(position, ORIGIN) === 0) return true;
  return log[position.offset - 1]?.term === position.term;
}
