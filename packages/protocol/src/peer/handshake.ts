/**
 * Mutual authentication of two hosts by a shared key: each proves the key over both nonces.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

/** Bytes of a nonce. */
export const NONCE_BYTES = 16;

/** Which side proves the key; part of the proof, so that it can't be reflected. */
export enum HandshakeSide {
  Dialer = 'dialer',
  Listener = 'listener',
}

/** What a proof covers. */
export interface ProofInput {
  readonly side: HandshakeSide;
  readonly host: string;
  readonly dialerNonce: Uint8Array;
  readonly listenerNonce: Uint8Array;
}

/** A fresh nonce. */
export function createNonce(): Buffer {
  return randomBytes(NONCE_BYTES);
}

/** Proof that `host` holds `key`. */
export function createProof(key: Buffer, input: ProofInput): Buffer {
  const hmac = createHmac('sha256', key);
  hmac.update(`${input.side}|${input.host}|`);
  hmac.update(input.dialerNonce);
  hmac.update(input.listenerNonce);
  return hmac.digest();
}

/** Checks a proof in constant time. */
export function verifyProof(key: Buffer, input: ProofInput, proof: Uint8Array): boolean {
  const expected = createProof(key, input);
  return proof.length === expected.length && timingSafeEqual(expected, proof);
}
