/**
 * Ed25519 signatures (RFC 8032) of bundle manifests. Whether they suffice depends on the operators and the threshold of
 * the active bundle.
 */
import { createPrivateKey, createPublicKey, generateKeyPairSync, sign, verify } from 'node:crypto';
import type { TrustRoot } from './host-settings.js';

/** Signature of one operator. */
export interface BundleSignature {
  readonly operator: string;
  /** 64 bytes. */
  readonly signature: Buffer;
}

/** Key pair of an operator. */
export interface OperatorKeyPair {
  /** PKCS #8, PEM. */
  readonly privateKey: string;
  /** Raw public key, 32 bytes. */
  readonly publicKey: Buffer;
}

/** DER prefix of an Ed25519 public key (RFC 8410). */
const SPKI_PREFIX = Buffer.from('302a300506032b6570032100', 'hex');

/** Creates a key pair. */
export function createOperatorKeys(): OperatorKeyPair {
  const pair = generateKeyPairSync('ed25519');
  return {
    privateKey: pair.privateKey.export({ format: 'pem', type: 'pkcs8' }).toString(),
    publicKey: pair.publicKey.export({ format: 'der', type: 'spki' }).subarray(SPKI_PREFIX.length),
  };
}

/** Signs a manifest. */
export function signManifest(
  manifest: string,
  operator: string,
  privateKey: string,
): BundleSignature {
  const signature = sign(null, Buffer.from(manifest), createPrivateKey(privateKey));
  return { operator, signature };
}

/** Names of the operators of `trust` with a valid signature, each listed once. */
export function validSigners(
  manifest: string,
  signatures: readonly BundleSignature[],
  trust: TrustRoot,
): readonly string[] {
  const data = Buffer.from(manifest);
  const valid = trust.operators.filter((operator) =>
    signatures.some(
      (entry) =>
        entry.operator === operator.name &&
        verify(null, data, publicKeyOf(operator.key), entry.signature),
    ),
  );
  return valid.map((operator) => operator.name);
}

/** Whether enough operators have signed. */
export function isAuthorized(
  manifest: string,
  signatures: readonly BundleSignature[],
  trust: TrustRoot,
): boolean {
  return validSigners(manifest, signatures, trust).length >= trust.threshold;
}

function publicKeyOf(raw: Buffer): ReturnType<typeof createPublicKey> {
  const der = Buffer.concat([SPKI_PREFIX, raw]);
  return createPublicKey({ key: der, format: 'der', type: 'spki' });
}
