/**
 * TCP ports in documents and messages of other processes. Connecting to a port out of range throws.
 */
import * as z from 'zod';

/** Highest TCP port. */
export const MAX_PORT = 65_535;

/** A port as a JSON number; 0 if the sender does not listen. */
export const portSchema = z.int().min(0).max(MAX_PORT);
