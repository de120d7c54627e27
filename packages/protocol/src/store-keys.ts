/**
 * Keys and values that a deployment uses in the platform's store.
 */
import type { GroupId, GroupRecord } from '@gladespool/coordination';
import * as z from 'zod';
import { readJson } from './json-text.js';
import { recordSchema } from './peer/frame.js';
import { toGroupRecord } from './peer/record-frame.js';

/** Prefix of all keys that relays watch. */
export const WATCHED_PREFIX = '/gladespool/state/';
/** Key of the head of the active bundle. */
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

/** Key of a bundle part. Parts are outside the watched prefix, since only hosts that lack one read it. */
export function partKey(hash: string): string {
  return PART_PREFIX + hash;
}

/** Prefix of zone status reports; outside the watched prefix. */
export const ZONE_STATUS_PREFIX = STATUS_PREFIX;

/** Key of a zone status report. */
export function zoneStatusKey(az: string): string {
  return STATUS_PREFIX + az;
}

const zoneStatusSchema = z
  .object({
    az: z.string(),
    /** Active bundle version on the reporting relay. */
    version: z.int(),
    /** Number of hosts whose heartbeats the relay receives. */
    hosts: z.int(),
    /** Hosts on which an older version is active. */
    lagging: z.array(z.string()).readonly(),
  })
  .readonly();

/** Report of a zone's first relay on the active bundle. */
export type ZoneStatus = z.infer<typeof zoneStatusSchema>;

/** Encodes a zone status report. */
export function encodeZoneStatus(status: ZoneStatus): string {
  return JSON.stringify(status);
}

/** Decodes a zone status report; undefined if it is malformed. */
export function decodeZoneStatus(text: string): ZoneStatus | undefined {
  return readJson(zoneStatusSchema, text);
}

/** Encodes a group's record. */
export function encodeRecord(record: GroupRecord): string {
  return JSON.stringify(record);
}

/** Decodes a group's record; undefined if it is malformed. */
export function decodeRecord(text: string): GroupRecord | undefined {
  const record = readJson(recordSchema, text);
  return record === undefined ? undefined : toGroupRecord(record);
}
