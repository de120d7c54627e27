/**
 * Replicated log of a stand-in upstream and the tables that are built from it.
 */

/** Values of a row by column name; all values are text. */
export type Row = Readonly<Record<string, string | null>>;

/** Change of one row; an undefined `row` deletes it. */
export interface Change {
  readonly table: string;
  readonly key: string;
  readonly row: Row | undefined;
}

/** Log entry of one committed transaction. */
export interface LogEntry {
  readonly term: number;
  readonly changes: readonly Change[];
}

/** Contents of the tables at a position of the log. */
export class TableState {
  private readonly tables = new Map<string, Map<string, Row>>();
  private readonly columns = new Map<string, Set<string>>();

  apply(entry: LogEntry): void {
    for (const change of entry.changes) {
      const rows = this.rowsOf(change.table);
      if (change.row === undefined) rows.delete(change.key);
      else rows.set(change.key, change.row);
      this.recordColumns(change);
    }
  }

  /** Returns all columns that rows of a table have had, in order of first appearance. */
  columnsOf(table: string): readonly string[] {
    return [...(this.columns.get(table) ?? [])];
  }

  get(table: string, key: string): Row | undefined {
    return this.tables.get(table)?.get(key);
  }

  entries(table: string): IterableIterator<[string, Row]> {
    return this.rowsOf(table).entries();
  }

  private recordColumns(change: Change): void {
    const known = this.columns.get(change.table) ?? new Set<string>();
    this.columns.set(change.table, known);
    for (const column of Object.keys(change.row ?? {})) known.add(column);
  }

  private rowsOf(table: string): Map<string, Row> {
    const existing = this.tables.get(table);
    if (existing !== undefined) return existing;
    const created = new Map<string, Row>();
    this.tables.set(table, created);
    return created;
  }
}
