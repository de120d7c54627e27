/**
 * Upstreams that leave, by the news that one host has of them.
 */
import type { Departure, ExpiryRules, UpstreamId, DepartureCause } from '@gladespool/coordination';
import {
  continueDeparture,
  departureOf,
  postponeDeparture,
  receivesNewWork,
} from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { UpstreamEntry } from '../../model/catalog.js';

/** Time for which a departure is remembered once its upstream is gone, milliseconds. */
const REMEMBERED_MS = 600_000;

/** What is known of the time before an upstream became ready. */
interface ReadySpan {
  /** Latest local time at which the documents were current before they had its ready entry. */
  readonly after: number;
  /** Latest local time at which current documents had an earlier ready entry of it. */
  readonly formerReadyAt: number;
}

/** A departure whose upstream is gone. */
interface EndedDeparture {
  readonly departure: Departure;
  readonly goneAt: number;
}

/** The departures that one host knows of, until their upstreams are gone or stay after all. */
export class Departures {
  private readonly departures = new Map<UpstreamId, Departure>();
  /** Departures of upstreams that are gone, whose entries may appear again while they are leaving. */
  private readonly ended = new Map<UpstreamId, EndedDeparture>();
  /** Upstreams whose newest known entry is a ready one. */
  private readonly ready = new Map<UpstreamId, ReadySpan>();
  /** Upstreams that receive new work although they leave. */
  private readonly inUse = new Map<UpstreamId, UpstreamEntry>();

  constructor(
    private readonly rules: ExpiryRules,
    private readonly log: Logger,
  ) {}

  /** The departure of each upstream that leaves; the map follows later changes. */
  get all(): ReadonlyMap<UpstreamId, Departure> {
    return this.departures;
  }

  /** Records that an upstream is ready, which ends its departure; documents were last current at `confirmedAt`. */
  recordReady(id: UpstreamId, confirmedAt: number): void {
    if (this.ready.has(id)) return;
    const formerReadyAt = this.known(id)?.lastReadyAt ?? Number.NEGATIVE_INFINITY;
    this.ready.set(id, { after: confirmedAt, formerReadyAt });
    this.departures.delete(id);
    this.inUse.delete(id);
    this.ended.delete(id);
  }

  /**
   * Starts the departure of an upstream, or continues one that has started before; documents were last current at
   * `confirmedAt`.
   */
  start(entry: UpstreamEntry, cause: DepartureCause, confirmedAt: number, now: number): void {
    const { id } = entry;
    const known = this.known(id);
    const departure =
      known === undefined
        ? departureOf(cause, this.lastReadyAt(id, confirmedAt), now, this.rules)
        : continueDeparture(known, cause, now, this.rules);
    const isNew = !this.departures.has(id);
    this.departures.set(id, departure);
    this.ready.delete(id);
    this.ended.delete(id);
    if (!isNew) return;
    this.inUse.set(id, entry);
    this.logStart(entry, departure, now);
  }

  /** Gives an upstream whose entry is missing the time to write it again. */
  postpone(entry: UpstreamEntry, now: number): void {
    const { id } = entry;
    const departure = this.departures.get(id);
    if (departure === undefined) return;
    const postponed = postponeDeparture(departure, now, this.rules);
    this.departures.set(id, postponed);
    if (postponed.newWorkEndsAt > departure.newWorkEndsAt) this.inUse.set(id, entry);
  }

  /** Ends the departure of an upstream that is gone at `now`. */
  end(id: UpstreamId, now: number): void {
    this.endNewWork(id, now);
    const departure = this.departures.get(id);
    if (departure !== undefined) this.ended.set(id, { departure, goneAt: now });
    this.departures.delete(id);
  }

  /** Logs the upstreams that receive no new work from `now` on, and forgets those that have long been gone. */
  tick(now: number): void {
    for (const [id, { goneAt }] of this.ended) {
      if (now - goneAt >= REMEMBERED_MS) this.ended.delete(id);
    }
    for (const id of [...this.inUse.keys()]) {
      if (!receivesNewWork(this.departures.get(id), now)) this.endNewWork(id, now);
    }
  }

  private known(id: UpstreamId): Departure | undefined {
    return this.departures.get(id) ?? this.ended.get(id)?.departure;
  }

  /** Latest local time up to `confirmedAt` at which current documents had a ready entry of an upstream. */
  private lastReadyAt(id: UpstreamId, confirmedAt: number): number {
    const span = this.ready.get(id);
    if (span === undefined) return Number.NEGATIVE_INFINITY;
    return confirmedAt > span.after ? confirmedAt : span.formerReadyAt;
  }

  private logStart(
    { id, group }: UpstreamEntry,
    { cause, lastReadyAt, newWorkEndsAt }: Departure,
    now: number,
  ): void {
    this.log.info('upstream-departing', {
      upstream: id,
      group,
      cause,
      at_most_ms: Math.round(now - lastReadyAt),
      new_work_ms: Math.max(0, Math.round(newWorkEndsAt - now)),
    });
  }

  private endNewWork(id: UpstreamId, now: number): void {
    const entry = this.inUse.get(id);
    const departure = this.departures.get(id);
    if (entry === undefined || departure === undefined) return;
    this.inUse.delete(id);
    this.log.info('upstream-departed', {
      upstream: id,
      group: entry.group,
      cause: departure.cause,
      known_ms: Math.round(now - departure.learnedAt),
    });
  }
}
