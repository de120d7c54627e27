/**
 * Converts group records from frames or from the store to their typed form.
 */
import type { GroupRecord } from '@gladespool/coordination';
import { groupId, hostId, upstreamId } from '@gladespool/coordination';
import type { z } from 'zod';
import type { recordSchema } from './frame.js';

/** Converts a validated record, branding its names. */
export function toGroupRecord(record: z.infer<typeof recordSchema>): GroupRecord {
  return {
    ...record,
    group: groupId(record.group),
    primary: upstreamId(record.primary),
    promoter: hostId(record.promoter),
  };
}
