/**
 * Client of the platform's key-value store: reads, compare-and-swap and watches over HTTP and JSON.
 */
import type { GladespoolError } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Agent } from 'undici';
import { request } from 'undici';
import * as z from 'zod';
import type { Dial } from './dialed-agent.js';
import { dialedAgent } from './dialed-agent.js';
import type { keyValueSchema } from './store-schema.js';
import {
  fromBase64,
  prefixEnd,
  rangeResponseSchema,
  toBase64,
  txnResponseSchema,
  watchResponseSchema,
} from './store-schema.js';
import { timeLimited } from './time-limited.js';

/** Key and value with the revision of their last change. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  /** Store revision of the last change; in a compare-and-swap, 0 means that the key does not exist. */
  readonly revision: number;
}

/** Outcome of a compare-and-swap whose reply was received. */
export enum SwapOutcome {
  Swapped = 'swapped',
  /** Another client changed a key after it was read; nothing was written. */
  Conflict = 'conflict',
}

/** Change of one key in a compare-and-swap. */
export interface Swap {
  readonly key: string;
  readonly value: string;
  /** Revision that the key must have; 0 if the key must not exist. */
  readonly expected: number;
}

/** Receives the events of a watch. */
export interface WatchListener {
  /** Called when the watch is established; `revision` is the store's current revision. */
  onOpen(revision: number): void;
  onValue(value: StoredValue): void;
  /** Called when the watch has ended; the caller has to open a new one. */
  onEnd(error: GladespoolError): void;
}

/** The platform's key-value store. */
export interface PlatformStore {
  read(key: string): Promise<Result<StoredValue | undefined, GladespoolError>>;
  readPrefix(prefix: string): Promise<Result<readonly StoredValue[], GladespoolError>>;
  /** Swaps all keys or none. After an error the outcome is unknown: read the keys to determine it. */
  swap(swaps: readonly Swap[]): Promise<Result<SwapOutcome, GladespoolError>>;
  /** Watches a prefix; the returned function ends the watch. */
  watch(prefix: string, listener: WatchListener): () => void;
  close(): Promise<void>;
}

/** Options of a store client. */
export interface StoreClientOptions {
  readonly address: string;
  readonly port: number;
  /** Timeout for a response, milliseconds. */
  readonly timeoutMs: number;
  /** Opens connections; tests use it to inject faults. */
  readonly dial: Dial;
}

const HTTP_OK = 200;
/** Maximum number of connections; the watches of a relay occupy two of them. */
const STORE_CONNECTIONS = 8;

/** Store client over the etcd v3 JSON mapping. */
export class HttpStoreClient implements PlatformStore {
  private readonly agent: Agent;
  private readonly origin: string;

  constructor(private readonly options: StoreClientOptions) {
    this.origin = `http://${options.address}:${options.port}`;
    this.agent = dialedAgent({ ...options, connections: STORE_CONNECTIONS });
  }

  async read(key: string): Promise<Result<StoredValue | undefined, GladespoolError>> {
    const values = await this.range({ key: toBase64(key) });
    return values.map((list) => list[0]);
  }

  async readPrefix(prefix: string): Promise<Result<readonly StoredValue[], GladespoolError>> {
    return this.range({ key: toBase64(prefix), range_end: toBase64(prefixEnd(prefix)) });
  }

  async swap(swaps: readonly Swap[]): Promise<Result<SwapOutcome, GladespoolError>> {
    const body = {
      compare: swaps.map((swap) => ({
        key: toBase64(swap.key),
        target: 'MOD',
        result: 'EQUAL',
        mod_revision: String(swap.expected),
      })),
      success: swaps.map((swap) => ({
        request_put: { key: toBase64(swap.key), value: toBase64(swap.value) },
      })),
    };
    const response = await this.post('/v3/kv/txn', body, txnResponseSchema, Step.StoreWrite);
    return response.map((txn) =>
      txn.succeeded === true ? SwapOutcome.Swapped : SwapOutcome.Conflict,
    );
  }

  watch(prefix: string, listener: WatchListener): () => void {
    const abort = new AbortController();
    void this.runWatch(prefix, listener, abort);
    return () => {
      abort.abort();
    };
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async range(body: object): Promise<Result<readonly StoredValue[], GladespoolError>> {
    const response = await this.post('/v3/kv/range', body, rangeResponseSchema, Step.StoreRead);
    return response.map((range) => (range.kvs ?? []).map(storedValueOf));
  }

  private async post<Schema extends z.ZodType>(
    path: string,
    body: object,
    schema: Schema,
    step: Step,
  ): Promise<Result<z.output<Schema>, GladespoolError>> {
    try {
      const { statusCode, text } = await timeLimited(this.options.timeoutMs, async (signal) => {
        const res = await request(this.origin + path, {
          method: 'POST',
          body: JSON.stringify(body),
          dispatcher: this.agent,
          signal,
        });
        return { statusCode: res.statusCode, text: await res.body.text() };
      });
      if (statusCode !== HTTP_OK) return err(this.createError(step, `status ${statusCode}`));
      const parsed = schema.safeParse(JSON.parse(text));
      if (!parsed.success) return err(this.createError(step, z.prettifyError(parsed.error)));
      return ok(parsed.data);
    } catch (cause) {
      return err(this.createError(step, 'store did not answer', cause));
    }
  }

  private async runWatch(
    prefix: string,
    listener: WatchListener,
    abort: AbortController,
  ): Promise<void> {
    const body = {
      create_request: { key: toBase64(prefix), range_end: toBase64(prefixEnd(prefix)) },
    };
    try {
      const res = await request(`${this.origin}/v3/watch`, {
        method: 'POST',
        body: JSON.stringify(body),
        dispatcher: this.agent,
        signal: abort.signal,
        bodyTimeout: 0,
        headersTimeout: this.options.timeoutMs,
      });
      if (res.statusCode !== HTTP_OK) throw new Error(`status ${res.statusCode}`);
      await this.readWatch(res.body, listener);
      throw new Error('stream ended');
    } catch (cause) {
      if (!abort.signal.aborted) {
        listener.onEnd(this.createError(Step.StoreWatch, 'watch ended', cause));
      }
    }
  }

  private async readWatch(body: AsyncIterable<Buffer>, listener: WatchListener): Promise<void> {
    let buffered = '';
    for await (const chunk of body) {
      buffered += chunk.toString();
      const lines = buffered.split('\n');
      buffered = lines.pop() ?? '';
      for (const line of lines) if (line !== '') handleWatchLine(line, listener);
    }
  }

  private createError(step: Step, message: string, cause?: unknown): GladespoolError {
    const peer = `${this.options.address}:${this.options.port}`;
    return gladespoolError({ step, peer }, message, { cause });
  }
}

function storedValueOf(kv: z.output<typeof keyValueSchema>): StoredValue {
  return {
    key: fromBase64(kv.key),
    value: fromBase64(kv.value ?? ''),
    revision: kv.mod_revision ?? 0,
  };
}

function handleWatchLine(line: string, listener: WatchListener): void {
  const { result } = watchResponseSchema.parse(JSON.parse(line));
  if (result.created === true) listener.onOpen(result.header?.revision ?? 0);
  for (const event of result.events ?? []) {
    if (event.type !== 'DELETE') listener.onValue(storedValueOf(event.kv));
  }
}
