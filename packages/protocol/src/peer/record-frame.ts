/**
 * Typed form of a group's record that arrived in a frame or from the store.
 */
import type { GroupRecord } from '@gladespool/coordination';
import { groupId, hostId, upstreamId } from '@gladespool/coordination';
import type { z } from 'zod';
import type { recordSchema } from './frame.js';

/** A checked record with its names branded. */
export function toGroupRecord(record: z.infer<typeof recordSchema>): GroupRecord {
  return {
    ...record,
    group: groupId(record.group),
    primary: upstreamId(record.primary),
    promoter: hostId(record.promoter),
  };
}
