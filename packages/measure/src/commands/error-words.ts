/**
 * What an error tells a program: SQLSTATE, reason and ran.
 */

/** Words of an error, joined by blanks; empty for an error without them. */
export function wordsOf(error: unknown): string {
  const { code = '', detail = '' } = error as { code?: string; detail?: string };
  const reason = /reason=(\S+)/.exec(detail)?.[1] ?? '';
  const ran = /ran=(\S+)/.exec(detail)?.[1] ?? '';
  return [code, reason, ran].filter((word) => word !== '').join(' ');
}
