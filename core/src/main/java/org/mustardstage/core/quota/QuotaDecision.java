package org.mustardstage.core.quota;

/** Whether an attempt may run. */
public sealed interface QuotaDecision {
  /** It may run until the permit expires. */
  record Granted(QuotaPermit permit) implements QuotaDecision {}

  /**
   * The tenant's quota is used up.
   *
   * @param retryAfterMillis when the quota is expected to allow the request
   */
  record Exhausted(long retryAfterMillis) implements QuotaDecision {}

  /** No VM answers that knows what is left of the quota. */
  record Unknown(long retryAfterMillis) implements QuotaDecision {}
}
