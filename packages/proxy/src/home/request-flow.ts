/**
 * Dispatches the requests of one home to the flow for reads, writes or open transactions.
 */
import { DEFAULT_RETRY_BUDGET, RetryLimiter } from '@gladespool/coordination';
import { RunIntent } from '@gladespool/protocol';
import type { GroupHome } from './group-home.js';
import { ReadFlow } from './read-flow.js';
import type { RunOutcome, RunRequest } from './run-request.js';
import { TransactionFlow } from './transaction-flow.js';
import { UpstreamWork } from './upstream-work.js';
import { WriteFlow } from './write-flow.js';

/** Runs the requests of one home. */
export class RequestFlow {
  private readonly retries = new RetryLimiter(DEFAULT_RETRY_BUDGET);
  private readonly reads: ReadFlow;
  private readonly writes: WriteFlow;
  private readonly transactions: TransactionFlow;

  constructor(private readonly home: GroupHome) {
    const work = new UpstreamWork(home);
    this.writes = new WriteFlow(home, work);
    this.transactions = new TransactionFlow(home, work);
    this.reads = new ReadFlow({
      home,
      work,
      retries: this.retries,
      writeInstead: (req) => this.writes.write(req),
    });
  }

  /** Runs one request to its outcome. */
  async run(req: RunRequest): Promise<RunOutcome> {
    const leave = this.home.enter();
    this.retries.recordRequest();
    try {
      return await this.dispatch(req);
    } finally {
      leave();
    }
  }

  /** Rolls back a transaction whose caller has disconnected. */
  abandon(transaction: number): void {
    this.home.transactions.abandon(transaction);
  }

  private dispatch(req: RunRequest): Promise<RunOutcome> {
    switch (req.intent) {
      case RunIntent.Continue:
      case RunIntent.End:
        return this.transactions.run(req);
      case RunIntent.Read:
      case RunIntent.BeginReadOnly:
        return this.reads.read(req);
      case RunIntent.Write:
      case RunIntent.Begin:
        return this.writes.write(req);
    }
  }
}
