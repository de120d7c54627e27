/**
 * Replicated log of a stand-in upstream and the tables that follow from it.
 */

/** A row by column name; all values are text. */
export type Row = Readonly<Record<string, string | null>>;

/** Change of one row; `row` undefined deletes it. */
export interface Change {
  readonly table: string;
  readonly key: string;
  readonly row: Row | undefined;
}

/** One committed transaction. */
export interface LogEntry {
  readonly term: number;
  readonly changes: readonly Change[];
}

/** Tables as of some point of the log. */
export class TableState {
  private readonly tables = new Map<string, Map<string, Row>>();
  private readonly columns = new Map<string, Set<string>>();

  apply(entry: LogEntry): void {
    for (const change of entry.changes) {
      const rows = this.rowsOf(change.table);
      if (change.row === undefined) rows.delete(change.key);
      else rows.set(change.key, change.row);
      this.noteColumns(change);
    }
  }

  /** Columns that rows of a table have had, in order of appearance. */
  columnsOf(table: string): readonly string[] {
    return [...(this.columns.get(table) ?? [])];
  }

  get(table: string, key: string): Row | undefined {
    return this.tables.get(table)?.get(key);
  }

  entries(table: string): IterableIterator<[string, Row]> {
    return this.rowsOf(table).entries();
  }

  private noteColumns(change: Change): void {
    const known = this.columns.get(change.table) ?? new Set<string>();
    this.columns.set(change.table, known);
    for (const column of Object.keys(change.row ?? {})) known.add(column);
  }

  private rowsOf(table: string): Map<string, Row> {
    const held = this.tables.get(table);
    if (held !== undefined) return held;
    const created = new Map<string, Row>();
    this.tables.set(table, created);
    return created;
  }
}
