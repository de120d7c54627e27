/**
 * Keys and values of the deployment in the platform's store.
 */
import type { GroupId, GroupRecord } from '@gladespool/coordination';
import * as z from 'zod';
import { readJson } from './json-text.js';
import { recordSchema } from './peer/frame.js';
import { toGroupRecord } from './peer/record-frame.js';

/** Prefix of everything that relays watch. */
export const WATCHED_PREFIX = '/gladespool/state/';
/** Head of the bundle in force. */
export const BUNDLE_HEAD_KEY = `${WATCHED_PREFIX}bundle`;
const RECORD_PREFIX = `${WATCHED_PREFIX}group/`;
const STATUS_PREFIX = '/gladespool/status/';
const PART_PREFIX = '/gladespool/part/';

/** Key of a group's record. */
export function recordKey(group: GroupId): string {
  return RECORD_PREFIX + group;
}

/** Whether a key holds a group's record. */
export function isRecordKey(key: string): boolean {
  return key.startsWith(RECORD_PREFIX);
}

/** Key of a bundle's part. Parts are outside of the watched prefix: only who lacks one reads it. */
export function partKey(hash: string): string {
  return PART_PREFIX + hash;
}

/** Prefix of the zones' reports; outside of the watched prefix. */
export const ZONE_STATUS_PREFIX = STATUS_PREFIX;

/** Key of a zone's report. */
export function zoneStatusKey(az: string): string {
  return STATUS_PREFIX + az;
}

const zoneStatusSchema = z
  .object({
    az: z.string(),
    /** Version in force on the reporting relay. */
    version: z.int(),
    /** Hosts that the relay hears. */
    hosts: z.int(),
    /** Hosts that have an older version in force. */
    lagging: z.array(z.string()).readonly(),
  })
  .readonly();

/** What a zone's first relay reports of the bundle in force. */
export type ZoneStatus = z.infer<typeof zoneStatusSchema>;

/** Encodes a zone's report. */
export function encodeZoneStatus(status: ZoneStatus): string {
  return JSON.stringify(status);
}

/** Decodes a zone's report; undefined when it is malformed. */
export function decodeZoneStatus(text: string): ZoneStatus | undefined {
  return readJson(zoneStatusSchema, text);
}

/** Encodes a record. */
export function encodeRecord(record: GroupRecord): string {
  return JSON.stringify(record);
}

/** Decodes a record; undefined when it is malformed. */
export function decodeRecord(text: string): GroupRecord | undefined {
  const record = readJson(recordSchema, text);
  return record === undefined ? undefined : toGroupRecord(record);
}
