/**
 * A bundle as operators keep it: an INI file whose last section holds the signatures.
 */
import { readFile, writeFile } from 'node:fs/promises';
import type { GladespoolError } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import type { Bundle, BundleSignature, ConfigFault } from '@gladespool/protocol';
import { readBundle, withoutSignatures } from '@gladespool/protocol';
import { parse, stringify } from 'ini';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** A file that could be read and is valid. */
export interface BundleFile {
  readonly path: string;
  readonly text: string;
  readonly bundle: Bundle;
  readonly signatures: readonly BundleSignature[];
}

/** Why a file can't be used. */
export type BundleFileFault =
  | { readonly kind: 'unreadable'; readonly error: GladespoolError }
  | { readonly kind: 'invalid'; readonly faults: readonly ConfigFault[] };

/** Reads and checks a bundle file. */
export async function loadBundleFile(path: string): Promise<Result<BundleFile, BundleFileFault>> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (cause) {
    const place = { step: Step.Bundle, peer: path };
    return err({ kind: 'unreadable', error: gladespoolError(place, 'cannot be read', { cause }) });
  }
  const bundle = readBundle(path, text);
  if (bundle.isErr()) return err({ kind: 'invalid', faults: bundle.error });
  return ok({ path, text, bundle: bundle.value, signatures: signaturesIn(text) });
}

/** Writes a bundle file with one more signature; the rest of the file stays as it is. */
export async function saveSignature(file: BundleFile, added: BundleSignature): Promise<void> {
  const others = file.signatures.filter((entry) => entry.operator !== added.operator);
  const signatures = Object.fromEntries(
    [...others, added].map((entry) => [entry.operator, entry.signature.toString('base64')]),
  );
  const body = withoutSignatures(file.text).trimEnd();
  await writeFile(file.path, `${body}\n\n${stringify({ signatures })}`);
}

function signaturesIn(text: string): readonly BundleSignature[] {
  const section = (parse(text) as Readonly<Record<string, unknown>>).signatures;
  if (typeof section !== 'object' || section === null) return [];
  return Object.entries(section).map(([operator, signature]) => ({
    operator,
    signature: Buffer.from(String(signature), 'base64'),
  }));
}
