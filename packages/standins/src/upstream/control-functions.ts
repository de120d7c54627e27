/**
 * SQL control functions of a stand-in upstream: status, fence, promote and follow.
 */
import type { Expr } from 'pgsql-ast-parser';
import type { Lineage } from '@gladespool/coordination';
import { decodeLineage, encodeStatus, STATUS_COLUMN } from '@gladespool/upstreams';
import type { StatementResult } from './executor.js';
import { evaluate, SqlError, SqlState } from './expression.js';
import type { UpstreamNode } from './upstream-node.js';

/** Executes `SELECT * FROM gladespool_…(…)` statements. */
export class ControlFunctions {
  constructor(private readonly node: UpstreamNode) {}

  call(
    name: string,
    args: readonly Expr[],
    parameters: readonly (string | null)[],
  ): StatementResult {
    const values = args.map((arg) => String(evaluate(arg, { row: {}, parameters })));
    switch (name) {
      case 'gladespool_status':
        return this.status();
      case 'gladespool_fence':
        this.node.fence(Number(values[0]));
        return this.status();
      case 'gladespool_promote':
        this.assertAccepted(this.node.promote(Number(values[0]), parseLineage(values[1])));
        return this.status();
      case 'gladespool_follow':
        this.assertAccepted(
          this.node.follow(Number(values[0]), values[1] ?? '', parseLineage(values[4])),
        );
        return this.status();
      default:
        throw new SqlError(SqlState.NotSupported, `function ${name} does not exist`);
    }
  }

  private assertAccepted(accepted: boolean): void {
    if (!accepted) throw new SqlError(SqlState.WrongObjectState, 'fenced at a later term');
  }

  private status(): StatementResult {
    const row = [encodeStatus(this.node.report())];
    return { columns: [STATUS_COLUMN], rows: [row], tag: 'SELECT 1' };
  }
}

function parseLineage(text: string | undefined): Lineage {
  const lineage = decodeLineage(text ?? '');
  if (lineage === undefined) throw new SqlError('22023', 'lineage is not valid');
  return lineage;
}
