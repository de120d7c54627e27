/**
 * Head of a bundle in the store and in frames: manifest, signatures, and the chain of earlier heads that changed the
 * operators. The chain lets a host with an older bundle, or with none, verify the changes of signers.
 */
import * as z from 'zod';
import { readJson } from '../json-text.js';
import type { BundleSignature } from './bundle-signature.js';

const signedManifestSchema = z.object({
  manifest: z.string(),
  signatures: z.array(z.object({ operator: z.string(), signature: z.string() })),
});

const chainLinkSchema = signedManifestSchema.extend({
  /** Text of the part that lists the operators from this head on. */
  core: z.string(),
});

const headSchema = signedManifestSchema.extend({
  /** Identifies the publication, so that its outcome can be determined by reading back if the reply is lost. */
  change: z.string(),
  /** Earlier heads that changed the operators, oldest first. */
  chain: z.array(chainLinkSchema),
  /** Texts of parts that are new in this version, so that relays need not read them from the store. */
  fresh: z.array(z.string()).default([]),
});

/** A signed manifest. */
export type SignedManifest = z.infer<typeof signedManifestSchema>;
/** A head that changed the operators. */
export type ChainLink = z.infer<typeof chainLinkSchema>;
/** Head of a bundle. */
export type BundleHead = z.infer<typeof headSchema>;

/** Encodes a head. */
export function encodeHead(head: BundleHead): string {
  return JSON.stringify(head);
}

/** Decodes a head; undefined if it is malformed. */
export function decodeHead(text: string): BundleHead | undefined {
  return readJson(headSchema, text);
}

/** Signatures of a signed manifest. */
export function signaturesOf(head: SignedManifest): readonly BundleSignature[] {
  return head.signatures.map(({ operator, signature }) => ({
    operator,
    signature: Buffer.from(signature, 'base64'),
  }));
}
