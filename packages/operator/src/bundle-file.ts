/**
 * Bundle files of operators: INI files whose last section holds the signatures.
 */
import { readFile, writeFile } from 'node:fs/promises';
import type { GladespoolError } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import type { Bundle, BundleSignature, ConfigFault } from '@gladespool/protocol';
import { readBundle, withoutSignatures } from '@gladespool/protocol';
import { parse, stringify } from 'ini';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** Contents of a valid bundle file. */
export interface BundleFile {
  readonly path: string;
  readonly text: string;
  readonly bundle: Bundle;
  readonly signatures: readonly BundleSignature[];
}

/** Reason why a bundle file cannot be used. */
export type BundleFileFault =
  | { readonly kind: 'unreadable'; readonly error: GladespoolError }
  | { readonly kind: 'invalid'; readonly faults: readonly ConfigFault[] };

/** Reads and validates a bundle file. */
export async function loadBundleFile(path: string): Promise<Result<BundleFile, BundleFileFault>> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (cause) {
    const context = { step: Step.Bundle, peer: path };
    return err({
      kind: 'unreadable',
      error: gladespoolError(context, 'cannot be read', { cause }),
    });
  }
  const bundle = readBundle(path, text);
  if (bundle.isErr()) return err({ kind: 'invalid', faults: bundle.error });
  return ok({ path, text, bundle: bundle.value, signatures: parseSignatures(text) });
}

/** Adds a signature to a bundle file or replaces that operator's signature; the rest of the file is unchanged. */
export async function saveSignature(file: BundleFile, added: BundleSignature): Promise<void> {
  const others = file.signatures.filter((entry) => entry.operator !== added.operator);
  const signatures = Object.fromEntries(
    [...others, added].map((entry) => [entry.operator, entry.signature.toString('base64')]),
  );
  const body = withoutSignatures(file.text).trimEnd();
  await writeFile(file.path, `${body}\n\n${stringify({ signatures })}`);
}

function parseSignatures(text: string): readonly BundleSignature[] {
  const section = (parse(text) as Readonly<Record<string, unknown>>).signatures;
  if (typeof section !== 'object' || section === null) return [];
  return Object.entries(section).map(([operator, signature]) => ({
    operator,
    signature: Buffer.from(String(signature), 'base64'),
  }));
}
