/**
 * Keys and documents that the gateway itself keeps in the metadata store.
 */
import type { PrimaryRecord } from '@gladespool/coordination';
import { azId, groupId, hostId, RecordPhase, upstreamId } from '@gladespool/coordination';
import { readJson } from '@gladespool/protocol';
import * as z from 'zod';
import type { HostEntry } from '../../knowledge/board.js';

/** Prefix of every key of the gateway. */
export const OWN_PREFIX = 'gladespool/';
const HOST_PREFIX = `${OWN_PREFIX}host/`;
const PRIMARY_PREFIX = `${OWN_PREFIX}primary/`;
/** Key of the record of who may call for promotions. */
export const DUTY_KEY = `${OWN_PREFIX}duty`;

const count = z.int().nonnegative();

/** A group's record as stored and as sent between hosts. */
const primaryRecordSchema = z.object({
  group: z.string().transform(groupId),
  epoch: count,
  phase: z.enum(RecordPhase),
  primary: z.string().transform(upstreamId),
  holder: z.string().transform(hostId),
});

/** A host as stored and as sent between hosts. */
const hostEntrySchema = z.object({
  host: z.string().transform(hostId),
  az: z.string().transform(azId),
  address: z.string(),
  port: count,
  incarnation: count,
  linkMbps: z.number().nonnegative().default(0),
  storeRoundTripMs: z.number().nonnegative().optional(),
});

const dutyRecordSchema = z.object({
  holder: z.string().transform(hostId),
  incarnation: count,
  /** Grows whenever the holder changes. */
  fence: count,
  /** Grows with each renewal, so that every one shows as a change. */
  renewal: count,
});

/** Who may call for promotions. */
export type DutyRecord = z.infer<typeof dutyRecordSchema>;

/** A document of the gateway found in the store. */
export type OwnDocument =
  | { readonly kind: 'host'; readonly entry: HostEntry }
  | { readonly kind: 'primary'; readonly record: PrimaryRecord }
  | { readonly kind: 'duty'; readonly duty: DutyRecord };

/** Key of a host's entry. */
export function hostKey(host: string): string {
  return `${HOST_PREFIX}${host}`;
}

/** Key of a group's record. */
export function primaryKey(group: string): string {
  return `${PRIMARY_PREFIX}${group}`;
}

/** Reads a document of the gateway; undefined when the key is none of its own or the text is broken. */
export function readOwnDocument(key: string, text: string): OwnDocument | undefined {
  if (key.startsWith(HOST_PREFIX)) {
    const entry = readJson(hostEntrySchema, text);
    return entry && { kind: 'host', entry };
  }
  if (key.startsWith(PRIMARY_PREFIX)) {
    const record = readJson(primaryRecordSchema, text);
    return record && { kind: 'primary', record };
  }
  if (key !== DUTY_KEY) return undefined;
  const duty = readJson(dutyRecordSchema, text);
  return duty && { kind: 'duty', duty };
}
