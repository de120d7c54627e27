/**
 * Requests with a timeout that, after a pause of this process, leaves time to read replies that
 * arrived meanwhile.
 */
import { TimeLimit } from '@gladespool/protocol';

/** Sends a request and aborts its signal after `timeoutMs`. */
export async function timeLimited<Value>(
  timeoutMs: number,
  send: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> {
  const abort = new AbortController();
  const limit = new TimeLimit(timeoutMs, () => {
    abort.abort(new Error(`no response within ${timeoutMs} ms`));
  });
  try {
    return await send(abort.signal);
  } finally {
    limit.clear();
  }
}
