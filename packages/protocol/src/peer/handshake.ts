/**
 * Mutual authentication of two hosts by a shared key: each sends an HMAC over both nonces.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

/** Size of a nonce, bytes. */
export const NONCE_BYTES = 16;

/** Side that proves the key; part of the proof, so that a proof cannot be reflected. */
export enum HandshakeSide {
  Dialer = 'dialer',
  Listener = 'listener',
}

/** Data covered by a proof. */
export interface ProofInput {
  readonly side: HandshakeSide;
  readonly host: string;
  readonly dialerNonce: Uint8Array;
  readonly listenerNonce: Uint8Array;
}

/** Creates a random nonce. */
export function createNonce(): Buffer {
  return randomBytes(NONCE_BYTES);
}

/** Creates the proof that `host` holds `key`. */
export function createProof(key: Buffer, input: ProofInput): Buffer {
  const hmac = createHmac('sha256', key);
  hmac.update(`${input.side}|${input.host}|`);
  hmac.update(input.dialerNonce);
  hmac.update(input.listenerNonce);
  return hmac.digest();
}

/** Verifies a proof in constant time. */
export function verifyProof(key: Buffer, input: ProofInput, proof: Uint8Array): boolean {
  const expected = createProof(key, input);
  return proof.length === expected.length && timingSafeEqual(expected, proof);
}
