/**
 * Requests with a time limit that leaves time to read what arrived while this process was paused.
 */
import { TimeLimit } from '@gladespool/protocol';

/** Makes a request whose signal aborts once `timeoutMs` are over. */
export async function timeLimited<Value>(
  timeoutMs: number,
  send: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> {
  const abort = new AbortController();
  const limit = new TimeLimit(timeoutMs, () => {
    abort.abort(new Error(`no answer within ${timeoutMs} ms`));
  });
  try {
    return await send(abort.signal);
  } finally {
    limit.clear();
  }
}
