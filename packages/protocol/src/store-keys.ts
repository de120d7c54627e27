/**
 * Keys and values of the deployment in the platform's store.
 */
import type { GroupId, GroupRecord } from '@gladespool/coordination';
import { recordSchema } from './peer/frame.js';
import { recordOf } from './peer/record-frame.js';

/** Prefix of everything that relays watch. */
export const ROOT_PREFIX = '/gladespool/state/';
/** Head of the bundle in force. */
export const BUNDLE_HEAD_KEY = `${ROOT_PREFIX}bundle`;
const RECORD_PREFIX = `${ROOT_PREFIX}group/`;
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

/** Encodes a record. */
export function encodeRecord(record: GroupRecord): string {
  return JSON.stringify(record);
}

/** Decodes a record; undefined when it is malformed. */
export function decodeRecord(text: string): GroupRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(text));
    return parsed.success ? recordOf(parsed.data) : undefined;
  } catch {
    return undefined;
  }
}
