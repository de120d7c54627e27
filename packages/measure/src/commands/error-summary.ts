/**
 * Summary of the machine-readable fields of an error: SQLSTATE, `reason` and `ran`.
 */

/** Fields of an error, separated by spaces; empty for an error that has none of them. */
export function summarizeError(error: unknown): string {
  const { code = '', detail = '' } = error as { code?: string; detail?: string };
  const reason = /reason=(\S+)/.exec(detail)?.[1] ?? '';
  const ran = /ran=(\S+)/.exec(detail)?.[1] ?? '';
  return [code, reason, ran].filter((word) => word !== '').join(' ');
}
