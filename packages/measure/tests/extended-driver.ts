/**
 * A driver for the extended query protocol only, built on the codec of `pg-protocol`, so that tests
 * control which messages are sent and when.
 */
import { firstRowOf } from '@gladespool/upstreams';
import { BackendType, MessageSplitter, TransactionStatus } from '@gladespool/protocol';
import { serialize } from 'pg-protocol';
import type { Caller } from '../src/load/caller.js';

const MAX_BYTES = 1_000_000;

/** Sends messages and collects the replies until `readies` ReadyForQuery messages have arrived. */
async function exchange(
  caller: Caller,
  messages: readonly Buffer[],
  readies: number,
): Promise<readonly Buffer[]> {
  const splitter = new MessageSplitter(MAX_BYTES, 'host');
  const answers: Buffer[] = [];
  let remaining = readies;
  return new Promise((resolve) => {
    caller.receiveRaw((chunk) => {
      for (const message of splitter.push(chunk).unwrapOr([])) {
        answers.push(Buffer.from(message));
        if (message[0] === BackendType.ReadyForQuery) remaining -= 1;
      }
      if (remaining === 0) resolve(answers);
    });
    caller.sendRaw(Buffer.concat(messages));
  });
}

/** Texts of the error messages among the replies. */
function errorsOf(answers: readonly Buffer[]): readonly string[] {
  return answers
    .filter((message) => message[0] === BackendType.Error)
    .map((message) => message.toString('latin1').replaceAll('\0', ' '));
}

function valuesOf(answers: readonly Buffer[]): readonly string[] {
  return answers
    .filter((message) => message[0] === BackendType.DataRow)
    .map((row) => firstRowOf({ messages: [row], status: TransactionStatus.Idle })?.[0] ?? '');
}

/**
 * Writes and reads with two named statements; sends all requests before reading any reply.
 *
 * @returns the values read, and the texts of errors, which distinguish a refused statement from a read without result
 */
export async function pipelineNamedStatements(
  caller: Caller,
  count: number,
): Promise<readonly string[]> {
  const write = 'INSERT INTO deeds (id, state) VALUES ($1, $2)';
  const read = 'SELECT state FROM deeds WHERE id = $1';
  const messages = [
    serialize.parse({ name: 'w', text: write }),
    serialize.parse({ name: 'r', text: read }),
    serialize.sync(),
  ];
  for (let i = 0; i < count; i += 1) {
    messages.push(
      serialize.bind({ statement: 'w', values: [`n${i}`, `v${i}`] }),
      serialize.execute({}),
      serialize.sync(),
      serialize.bind({ statement: 'r', values: [`n${i}`] }),
      serialize.execute({}),
      serialize.sync(),
    );
  }
  const answers = await exchange(caller, messages, 1 + 2 * count);
  return [...valuesOf(answers), ...errorsOf(answers)];
}

/** Fetches all rows that have a state through a portal, `size` at a time, in one transaction. */
export async function fetchThroughPortal(caller: Caller, size: number): Promise<readonly string[]> {
  await exchange(caller, [serialize.query('BEGIN')], 1);
  const text = "SELECT state FROM deeds WHERE state != ''";
  const found: string[] = [];
  const first = await exchange(
    caller,
    [
      serialize.parse({ name: 'c', text }),
      serialize.bind({ portal: 'cursor', statement: 'c' }),
      serialize.execute({ portal: 'cursor', rows: size }),
      serialize.sync(),
    ],
    1,
  );
  found.push(...valuesOf(first));
  for (let answers = first; answers.some(isSuspended);) {
    const next = [serialize.execute({ portal: 'cursor', rows: size }), serialize.sync()];
    answers = await exchange(caller, next, 1);
    found.push(...valuesOf(answers));
  }
  await exchange(caller, [serialize.query('COMMIT')], 1);
  return found;
}

function isSuspended(message: Buffer): boolean {
  return message[0] === BackendType.PortalSuspended;
}
