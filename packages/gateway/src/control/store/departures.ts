/**
 * Upstreams that leave, by the news that one host has of them.
 */
import type { Departure, ExpiryRules, UpstreamId, DepartureCause } from '@gladespool/coordination';
import { departureOf, postponeDeparture, receivesNewWork } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { UpstreamEntry } from '../../model/catalog.js';

/** The departures that one host knows of, until their upstreams are gone or stay after all. */
export class Departures {
  private readonly departures = new Map<UpstreamId, Departure>();
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

  /** Starts the departure of an upstream, unless it has started before. */
  start(entry: UpstreamEntry, cause: DepartureCause, lastReadyAt: number, now: number): void {
    const { id, group } = entry;
    if (this.departures.has(id)) return;
    const departure = departureOf(cause, lastReadyAt, now, this.rules);
    this.departures.set(id, departure);
    this.inUse.set(id, entry);
    this.log.info('upstream-departing', {
      upstream: id,
      group,
      cause,
      at_most_ms: Math.round(now - lastReadyAt),
      new_work_ms: Math.round(departure.newWorkEndsAt - now),
    });
  }

  /** Gives an upstream whose entry is missing the time to write it again. */
  postpone(entry: UpstreamEntry, now: number): void {
    const { id } = entry;
    const departure = this.departures.get(id);
    if (departure === undefined) return;
    this.departures.set(id, postponeDeparture(departure, now, this.rules));
    this.inUse.set(id, entry);
  }

  /** Ends the departure of an upstream that stays, or that is gone. */
  remove(id: UpstreamId): void {
    this.departures.delete(id);
    this.inUse.delete(id);
  }

  /** Logs the upstreams that receive no new work from `now` on. */
  tick(now: number): void {
    for (const [id, { group }] of this.inUse) {
      const departure = this.departures.get(id);
      if (receivesNewWork(departure, now)) continue;
      this.inUse.delete(id);
      this.log.info('upstream-departed', {
        upstream: id,
        group,
        cause: departure?.cause,
        known_ms: departure && Math.round(now - departure.learnedAt),
      });
    }
  }
}
