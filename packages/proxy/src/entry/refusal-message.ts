/**
 * Encodes refusals as PostgreSQL errors whose fields tell a program what happened:
 * `DETAIL: reason=<reason> ran=<no|unknown|yes>` and, where asking again helps, a hint when.
 */
import type { Refusal } from '@gladespool/coordination';
import { REFUSAL_RULES } from '@gladespool/coordination';
import type { ErrorFields } from '@gladespool/protocol';

/** Fields of the error that tells a caller of a refusal. */
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
