/**
 * Encodes and verifies session tokens. They are opaque to callers, versioned, and authenticated by a keyed MAC that
 * covers the user, so that a token cannot be forged or used by another user.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';
import type { Refusal, SessionFloor } from '@gladespool/coordination';
import { groupId, MAX_FLOOR_GROUPS, RefusalReason, refuse } from '@gladespool/coordination';
import { decode, Encoder } from 'cbor-x';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import * as z from 'zod';

const TOKEN_VERSION = 1;
const MAC_BYTES = 16;
/** Maximum length of a token, characters; 64 groups with names of 63 bytes fit. */
export const MAX_TOKEN_LENGTH = 8192;

const encoder = new Encoder({ useRecords: false });
const TokenBody = z.tuple([
  z.literal(TOKEN_VERSION),
  z.string(),
  z
    .array(z.tuple([z.string(), z.int().nonnegative(), z.int().nonnegative()]))
    .max(MAX_FLOOR_GROUPS),
]);

/** Key that authenticates tokens. */
export interface TokenKey {
  /** Short name of the key, for key rotation. */
  readonly id: string;
  readonly secret: Buffer;
}

/** Seals tokens with the first key and opens tokens sealed with any of the keys. */
export class TokenCodec {
  constructor(private readonly keys: readonly [TokenKey, ...TokenKey[]]) {}

  /** Returns the token for a session of `user`. */
  seal(user: string, floor: SessionFloor): string {
    const [key] = this.keys;
    const entries = floor.map((entry) => [entry.group, entry.position.term, entry.position.offset]);
    const body = encoder.encode([TOKEN_VERSION, key.id, entries]);
    return Buffer.concat([mac(key, user, body), body]).toString('base64url');
  }

  /** Returns the session floor in a token of `user`. */
  open(user: string, token: string): Result<SessionFloor, Refusal> {
    if (token.length > MAX_TOKEN_LENGTH) return err(badToken('too long'));
    const bytes = Buffer.from(token, 'base64url');
    if (bytes.length <= MAC_BYTES) return err(badToken('too short'));
    const body = bytes.subarray(MAC_BYTES);
    const given = bytes.subarray(0, MAC_BYTES);
    const authentic = this.keys.some((key) => timingSafeEqual(mac(key, user, body), given));
    if (!authentic) return err(badToken('not issued to this user by this deployment'));
    return readBody(body);
  }
}

function readBody(body: Buffer): Result<SessionFloor, Refusal> {
  const parsed = TokenBody.safeParse(decode(body));
  if (!parsed.success) return err(badToken('of another version'));
  const [, , entries] = parsed.data;
  return ok(
    entries.map(([group, term, offset]) => ({ group: groupId(group), position: { term, offset } })),
  );
}

function mac(key: TokenKey, user: string, body: Buffer): Buffer {
  const hmac = createHmac('sha256', key.secret);
  hmac.update(`${user.length}:${user}`);
  hmac.update(body);
  return hmac.digest().subarray(0, MAC_BYTES);
}

function badToken(what: string): Refusal {
  return refuse(RefusalReason.BadToken, `token is ${what}`);
}
