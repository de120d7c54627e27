/**
 * Keys and schemas of the documents that the gateway itself writes to the metadata store.
 */
import type { GroupId, HostId, PrimaryRecord } from '@gladespool/coordination';
import { azId, groupId, hostId, RecordPhase, upstreamId } from '@gladespool/coordination';
import {
  MAX_ENTRY_CHARS,
  parseUntrustedJson,
  portSchema,
  storePositionSchema,
} from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import * as z from 'zod';
import type { HostEntry } from '../../knowledge/board.js';
import type { DocumentReadResult } from './document-read-result.js';
import { UNRELATED_KEY, toReadResult } from './document-read-result.js';

/** Prefix of every key of the gateway. */
export const OWN_PREFIX = 'gladespool/';
const HOST_PREFIX = `${OWN_PREFIX}host/`;
const RETIRED_PREFIX = `${OWN_PREFIX}retired/`;
const PRIMARY_PREFIX = `${OWN_PREFIX}primary/`;
const ERA_PREFIX = `${OWN_PREFIX}era/`;
/** Key of the promotion lease. */
export const PROMOTION_LEASE_KEY = `${OWN_PREFIX}duty`;

const nonNegativeInt = z.int().nonnegative();

const namedSuccessorSchema = z.object({
  id: z.string().transform(upstreamId),
  born: z.int().optional(),
  isPrimary: z.boolean(),
  term: nonNegativeInt,
  received: z.object({ term: nonNegativeInt, offset: nonNegativeInt }),
});

/** A group's record as stored and as sent between hosts. */
const primaryRecordSchema = z.object({
  group: z.string().transform(groupId),
  epoch: nonNegativeInt,
  phase: z.enum(RecordPhase),
  primary: z.string().transform(upstreamId),
  born: z.int().optional(),
  term: z.int().optional(),
  holder: z.string().transform(hostId),
  successor: namedSuccessorSchema.optional(),
});

/** A host as stored and as sent between hosts. */
const hostEntrySchema = z.object({
  host: z.string().transform(hostId),
  az: z.string().transform(azId),
  address: z.string(),
  port: portSchema,
  incarnation: nonNegativeInt,
  linkMbps: z.number().nonnegative().default(0),
  storeRoundTripMs: z.number().nonnegative().optional(),
  listedSince: storePositionSchema.optional(),
});

const retiredHostSchema = z.object({ host: z.string().transform(hostId) });

const promotionLeaseSchema = z.object({
  holder: z.string().transform(hostId),
  incarnation: nonNegativeInt,
  /** Increases whenever the holder changes. */
  fence: nonNegativeInt,
  /** Increases with each renewal, so that every renewal is visible as a change. */
  renewal: nonNegativeInt,
});

const eraMarkerSchema = z.object({
  /** Version of the configuration that the hosts knew when the era was opened; missing if they knew none. */
  catalogVersion: z.int().optional(),
});

/** The promotion lease: its holder alone may request promotions. */
export type PromotionLeaseRecord = z.infer<typeof promotionLeaseSchema>;

/** A document that the gateway has written to the store. */
export type OwnDocument =
  | { readonly kind: 'host'; readonly entry: HostEntry }
  /** Notes that a host was removed from the list by another one, and may still use its proof. */
  | { readonly kind: 'retired-host'; readonly host: HostId }
  | { readonly kind: 'primary'; readonly record: PrimaryRecord }
  | { readonly kind: 'duty'; readonly duty: PromotionLeaseRecord }
  /** Marks an era of the store as one that has all documents of the gateway. */
  | { readonly kind: 'era'; readonly catalogVersion: number | undefined };

/** Key of a host's entry. */
export function hostKey(host: string): string {
  return `${HOST_PREFIX}${host}`;
}

/** Key of the note that a host was retired. */
export function retiredHostKey(host: string): string {
  return `${RETIRED_PREFIX}${host}`;
}

/** Key of a group's record. */
export function primaryKey(group: string): string {
  return `${PRIMARY_PREFIX}${group}`;
}

/** Key of the marker of an era of the store. */
export function eraKey(era: number): string {
  return `${ERA_PREFIX}${era}`;
}

/** The group whose record is stored under `key`; undefined if it is not the key of a record. */
export function groupOfKey(key: string): GroupId | undefined {
  return key.startsWith(PRIMARY_PREFIX) ? groupId(key.slice(PRIMARY_PREFIX.length)) : undefined;
}

/** The retired host that the note under `key` is about; undefined if it is not the key of such a note. */
export function retiredHostOfKey(key: string): HostId | undefined {
  return key.startsWith(RETIRED_PREFIX) ? hostId(key.slice(RETIRED_PREFIX.length)) : undefined;
}

/** The host whose entry is stored under `key`; undefined if it is not the key of a host entry. */
export function hostOfKey(key: string): HostId | undefined {
  return key.startsWith(HOST_PREFIX) ? hostId(key.slice(HOST_PREFIX.length)) : undefined;
}

/** Decodes a document of the gateway. */
export function readOwnDocument(key: string, text: string): DocumentReadResult<OwnDocument> {
  const host = hostOfKey(key);
  if (host !== undefined) return toReadResult(decodeHost(host, text));
  const group = groupOfKey(key);
  if (group !== undefined) return toReadResult(decodeRecord(group, text));
  if (key.startsWith(ERA_PREFIX)) {
    const marker = parseUntrustedJson(eraMarkerSchema, text, MAX_ENTRY_CHARS);
    return toReadResult(
      marker.map(({ catalogVersion }) => ({ kind: 'era', catalogVersion }) as const),
    );
  }
  if (key.startsWith(RETIRED_PREFIX)) {
    const note = parseUntrustedJson(retiredHostSchema, text, MAX_ENTRY_CHARS);
    return toReadResult(note.map((decoded) => ({ kind: 'retired-host', ...decoded }) as const));
  }
  if (key !== PROMOTION_LEASE_KEY) return UNRELATED_KEY;
  const duty = parseUntrustedJson(promotionLeaseSchema, text, MAX_ENTRY_CHARS);
  return toReadResult(duty.map((decoded) => ({ kind: 'duty', duty: decoded }) as const));
}

/** An entry is valid only under the key of its host, so that it can't list another one. */
function decodeHost(host: HostId, text: string): Result<OwnDocument, string> {
  const entry = parseUntrustedJson(hostEntrySchema, text, MAX_ENTRY_CHARS);
  return entry.andThen<Result<OwnDocument, string>>((decoded) =>
    decoded.host === host ? ok({ kind: 'host', entry: decoded }) : err('host: not that of the key'),
  );
}

/** A record is valid only under the key of its group, since only that key is checked by conditional changes. */
function decodeRecord(group: GroupId, text: string): Result<OwnDocument, string> {
  const record = parseUntrustedJson(primaryRecordSchema, text, MAX_ENTRY_CHARS);
  return record.andThen<Result<OwnDocument, string>>((decoded) =>
    decoded.group === group
      ? ok({ kind: 'primary', record: decoded })
      : err('group: not that of the key'),
  );
}
