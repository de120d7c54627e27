/**
 * Writes the first record of a group, naming the upstream that reports itself as the primary.
 */
import type { GroupId } from '@gladespool/coordination';
import { rankCandidates, RecordPhase } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { GatewayBoard } from '../../knowledge/board.js';
import type { UpstreamEntry } from '../../model/catalog.js';
import { ReportedRole } from '../../model/catalog.js';
import type { MetadataStore } from '../store/metadata-store.js';
import { changeResultText, StorePurpose } from '../store/metadata-store.js';
import { primaryKey } from '../store/store-documents.js';
import type { StoreView } from '../store/store-view.js';

/** Dependencies of the writer. */
export interface InitialRecordWriterOptions {
  readonly board: GatewayBoard;
  readonly store: MetadataStore;
  readonly view: StoreView;
  readonly log: Logger;
}

/** Epoch of a group's first record. */
const FIRST_EPOCH = 1;
/** Timeout of the write, milliseconds. */
const WRITE_TIMEOUT_MS = 1000;
/** Delay for each host ranked before this one, milliseconds: a few round trips. */
const RANK_DELAY_MS = 300;

/** Writes the first records of groups that have none. */
export class InitialRecordWriter {
  private readonly missingSince = new Map<GroupId, number>();
  private readonly writing = new Set<GroupId>();

  constructor(private readonly options: InitialRecordWriterOptions) {}

  /** Writes the missing records for which this host's turn has come at `now`. */
  tick(now: number): void {
    const { board, view } = this.options;
    if (!view.hasLoaded || !view.isEraSettled || board.hosts.get(board.host) === undefined) return;
    for (const group of board.catalog?.groups.keys() ?? []) {
      if (board.record(group) !== undefined) continue;
      const since = this.missingSince.get(group) ?? now;
      this.missingSince.set(group, since);
      if (now - since >= this.delayOf(group)) void this.write(group);
    }
  }

  private delayOf(group: GroupId): number {
    const { board } = this.options;
    const ranked = rankCandidates(`found|${group}`, [...board.hosts.keys()]);
    return ranked.indexOf(board.host) * RANK_DELAY_MS;
  }

  private async write(group: GroupId): Promise<void> {
    const { board, store, view, log } = this.options;
    const primary = soleReportedPrimary(board.upstreamsOf(group));
    if (primary === undefined || this.writing.has(group)) return;
    this.writing.add(group);
    const record = {
      group,
      epoch: FIRST_EPOCH,
      phase: RecordPhase.Serving,
      primary: primary.id,
      born: primary.born,
      holder: board.host,
    };
    const key = primaryKey(group);
    const change = {
      conditions: [view.conditionOn(key)],
      writes: [{ key, value: JSON.stringify(record) }],
      removals: [],
    };
    const result = await store.change(change, StorePurpose.Record, WRITE_TIMEOUT_MS);
    this.writing.delete(group);
    const outcome = changeResultText(result);
    log.info('record-founded', { group, primary: primary.id, result: outcome });
  }
}

/** The only upstream that reports itself as primary; undefined when none or several do. */
function soleReportedPrimary(entries: readonly UpstreamEntry[]): UpstreamEntry | undefined {
  const primaries = entries.filter((entry) => entry.role === ReportedRole.Primary);
  return primaries.length === 1 ? primaries[0] : undefined;
}
