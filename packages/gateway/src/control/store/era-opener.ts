/**
 * Opens a new era of the store after it was restored from an older copy: collects from the other hosts the gateway's
 * own documents that the copy lacks, writes them back, and marks the era as one whose documents are complete.
 */
import type {
  AuthorityRules,
  HostId,
  PreviousEraHosts,
  StorePosition,
} from '@gladespool/coordination';
import { claimedRecord, mayOpenEra, initialFence, UNKNOWN_HOST } from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import { FrameKind } from '@gladespool/protocol';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { RelayOrder } from '../../knowledge/relay-order.js';
import type { HostRound } from '../hosts/host-round.js';
import type { MetadataStore, StoreChange } from './metadata-store.js';
import { changeResultText, StorePurpose } from './metadata-store.js';
import { PROMOTION_LEASE_KEY, eraKey } from './store-documents.js';
import type { StoreView } from './store-view.js';

/** Dependencies of the opener. */
export interface EraOpenerOptions {
  readonly self: HostEntry;
  readonly board: GatewayBoard;
  readonly view: StoreView;
  readonly store: MetadataStore;
  readonly order: RelayOrder;
  readonly round: HostRound;
  readonly authority: AuthorityRules;
  /** Reads the gateway's own documents again. */
  readonly reloadOwnDocuments: () => Promise<unknown>;
  readonly metrics: HostMetrics;
  readonly log: Logger;
}

type Write = StoreChange['writes'][number];

/** Timeout for the replies of the other hosts, milliseconds. */
const REQUEST_TIMEOUT_MS = 700;
/** Timeout of one change of the store, milliseconds. */
const WRITE_TIMEOUT_MS = 1500;
/** Delay after a failed attempt, milliseconds. */
const RETRY_MS = 250;
/** Delay for each zone and each host that precedes this one in the relay order, milliseconds. */
const RANK_DELAY_MS = 300;
/** Documents in one change besides the marker: each takes two entries, and the platform's store accepts 32 a change. */
const MAX_WRITES = 12;
/** Era markers that are kept: a delayed change checks for the marker of the era after its own. */
const KEPT_MARKERS = 4;

/** Era opener of one host. */
export class EraOpener {
  private busy = false;
  private notBefore = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: EraOpenerOptions) {}

  /** Opens the current era, or writes back records that an opened one lacks, if that is due at `now`. */
  tick(now: number): void {
    const { board, view, order } = this.options;
    if (this.busy || view.isEraSettled || board.draining || now < this.notBefore) return;
    const sinceMs = now - view.currentEra.since - (order.zoneRank + order.rank) * RANK_DELAY_MS;
    if (sinceMs < 0) return;
    void this.run(now);
  }

  private async run(now: number): Promise<void> {
    this.busy = true;
    const { view } = this.options;
    const opened = view.isEraOpened ? await this.writeBackClaims() : await this.open(now);
    this.notBefore = performance.now() + (opened ? 0 : RETRY_MS);
    this.busy = false;
  }

  private async open(now: number): Promise<boolean> {
    const { view, authority, log } = this.options;
    const { era } = view.ownPosition;
    // Requests are pointless while the era could not be opened even if every host replied.
    const { size } = view.currentEra.formerHosts;
    const earliest = { listed: size, answered: size, replaced: 0, held: undefined };
    if (!mayOpenEra(earliest, now - view.currentEra.since, authority)) return false;
    const former = await this.collectFromFormerHosts();
    const sinceMs = performance.now() - view.currentEra.since;
    if (view.isEraSettled) return true;
    if (view.ownPosition.era !== era || !mayOpenEra(former, sinceMs, authority)) {
      log.info('era-not-opened', { era, ...logFieldsOf(former) });
      return false;
    }
    const records = view.lostRecords.map(({ item: { key, value } }) => ({ key, value }));
    const isWritten = await this.writeBack([...this.leaseWrites(former), ...records], era);
    if (isWritten)
      log.info('era-opened', { era, ...logFieldsOf(former), since_ms: Math.round(sinceMs) });
    return isWritten;
  }

  /** Requests the documents of all hosts that were listed in the previous era, and applies them. */
  private async collectFromFormerHosts(): Promise<PreviousEraHosts> {
    const { self, board, view, round, authority } = this.options;
    const { formerHosts, heldHosts, heldListAgeMs } = view.currentEra;
    if (formerHosts.size === 0) return { listed: 0, answered: 0, replaced: 0, held: undefined };
    const { host, incarnation } = self;
    const replies = new Map([[host, incarnation]]);
    const request = { kind: FrameKind.RenewRequest, id: 0, host, incarnation } as const;
    await round.requestAll(request, REQUEST_TIMEOUT_MS, (answer) => {
      view.applyItems(answer.items, performance.now());
      replies.set(answer.host, answer.incarnation);
    });
    const replaced = [...formerHosts].filter(([name, process]) => {
      const listed = board.hosts.get(name);
      return listed !== undefined && listed.incarnation !== process;
    });
    return {
      listed: formerHosts.size,
      answered: countAnswered(formerHosts, replies),
      replaced: replaced.length,
      held:
        heldListAgeMs <= authority.hostListTtlMs
          ? { listed: heldHosts.size, answered: countAnswered(heldHosts, replies) }
          : undefined,
    };
  }

  /**
   * The write of the promotion lease for the new era; none if the store already has the newest known lease and no
   * higher fence is needed.
   */
  private leaseWrites(former: PreviousEraHosts): readonly Write[] {
    const { view } = this.options;
    const known = view.duty?.duty;
    const fence = initialFence(known?.fence ?? 0, former);
    const isCurrent = fence === (known?.fence ?? 0);
    if (isCurrent && !view.isLost(PROMOTION_LEASE_KEY)) return [];
    const renewal = (known?.renewal ?? 0) + 1;
    const replacement = { holder: UNKNOWN_HOST, incarnation: 0, fence, renewal };
    return [{ key: PROMOTION_LEASE_KEY, value: JSON.stringify(isCurrent ? known : replacement) }];
  }

  /** Writes documents back, with the marker of the era in the last change. */
  private async writeBack(documents: readonly Write[], era: number): Promise<boolean> {
    const { board, view } = this.options;
    let rest = documents;
    for (; rest.length > MAX_WRITES; rest = rest.slice(MAX_WRITES)) {
      if (!(await this.write(rest.slice(0, MAX_WRITES), []))) return false;
    }
    const catalogVersion = board.catalog?.version;
    const marker = { key: eraKey(era), value: JSON.stringify({ catalogVersion }) };
    const outdated = eraKey(era - KEPT_MARKERS);
    return this.write([...rest, marker], view.has(outdated) ? [outdated] : []);
  }

  /**
   * Writes back records that an opened era lacks because no host that replied knew them. They are written as claims,
   * since other hosts may use the primaries that the store names until they have acknowledged the claim.
   */
  private async writeBackClaims(): Promise<boolean> {
    const { self, view } = this.options;
    for (const { record, item } of view.lostRecords) {
      const claim = claimedRecord(record, self.host, record.successor);
      if (!(await this.write([{ key: item.key, value: JSON.stringify(claim) }], []))) return false;
    }
    return true;
  }

  private async write(writes: readonly Write[], removals: readonly string[]): Promise<boolean> {
    const { store, view, log, metrics } = this.options;
    const conditions = writes.map(({ key }) => view.conditionOn(key));
    const change = { conditions, writes, removals };
    const result = await store.change(change, StorePurpose.Record, WRITE_TIMEOUT_MS);
    if (result.isErr() || result.value.kind !== 'done') {
      log.info('documents-not-restored', { result: changeResultText(result) });
      await this.options.reloadOwnDocuments();
      return false;
    }
    this.applyWritten(writes, result.value.position);
    metrics.documentsRestored.inc(writes.length);
    return true;
  }

  private applyWritten(writes: readonly Write[], position: StorePosition): void {
    const { view, log } = this.options;
    for (const { key } of writes) log.info('document-restored', { key, era: position.era });
    view.applyItems(
      writes.map((write) => ({ ...write, position })),
      performance.now(),
    );
  }
}

/** Number of hosts that have replied as the very processes that were listed. */
function countAnswered(
  listed: ReadonlyMap<HostId, number>,
  replies: ReadonlyMap<HostId, number>,
): number {
  return [...listed].filter(([host, process]) => replies.get(host) === process).length;
}

function logFieldsOf({
  held,
  ...counts
}: PreviousEraHosts): Readonly<Record<string, number | undefined>> {
  return { ...counts, held: held?.listed, held_answered: held?.answered };
}
