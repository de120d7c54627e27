/**
 * Encodes refusals as PostgreSQL errors with machine-readable fields:
 * `DETAIL: reason=<reason> ran=<no|unknown|yes>` and, if a retry can succeed,
 * `HINT: retry_after_ms=<milliseconds>`.
 */
import type { Refusal } from '@gladespool/coordination';
import { REFUSAL_RULES } from '@gladespool/coordination';
import type { ErrorFields } from '@gladespool/protocol';

/** Returns the fields of the error that reports a refusal to the caller. */
export function refusalFields(refusal: Refusal, severity: ErrorFields['severity']): ErrorFields {
  const rule = REFUSAL_RULES[refusal.reason];
  const message = refusal.detail === '' ? rule.message : `${rule.message}: ${refusal.detail}`;
  const fields = {
    severity,
    code: rule.sqlState,
    message: `gladespool: ${message}`,
    detail: `reason=${refusal.reason} ran=${rule.ran}`,
  };
  if (rule.retryAfterMs === 0) return fields;
  return { ...fields, hint: `retry_after_ms=${rule.retryAfterMs}` };
}
