package org.mustardstage.core.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.tenant.TenantQuota;

/**
 * Hands out the permits of one group of tenants, as far as shares are lent to this VM.
 *
 * <p>Handles two owners of a group at once, cut-off parts and restarts: each owner adds to its
 * quotas only while, and in proportion to how many, shares are lent to it, and each VM's share is
 * lent to one owner at a time. An owner that loses shares drops what it had saved with them.
 */
final class QuotaOwner {
  private final QuotaSettings settings;
  private final BorrowedShares borrowed;
  private final Map<TenantName, QuotaBucket> buckets = new HashMap<>();
  private Map<TenantName, TenantQuota> quotas;
  private double share;

  /** The integral of {@link #share} over time, from which buckets count what they gain. */
  private double shareSeconds;

  /** What {@link #shareSeconds} was when the share last shrank. */
  private double shrunkAtShareSeconds;

  private long countedNanos;
  private long lastBatch;

  QuotaOwner(
      long nowNanos,
      QuotaSettings settings,
      long loanNanos,
      long firstMark,
      Map<TenantName, TenantQuota> quotas) {
    this.settings = settings;
    this.borrowed = new BorrowedShares(loanNanos, firstMark);
    this.lastBatch = firstMark;
    this.quotas = quotas;
    this.countedNanos = nowNanos;
  }

  /** Replaces the quotas; what was gained until now is gained at the quotas before. */
  void setQuotas(long nowNanos, int ownKnownVms, Map<TenantName, TenantQuota> newQuotas) {
    update(nowNanos, ownKnownVms);
    refillAll(nowNanos);
    quotas = newQuotas;
    buckets.keySet().retainAll(newQuotas.keySet());
    // A quota that is taken away and comes back has gained nothing in between.
    shrunkAtShareSeconds = shareSeconds;
  }

  /** Applies a loan of shares and returns the mark that answers it. */
  long renew(long nowNanos, int ownKnownVms, VmId lender, QuotaMessage.Shares shares) {
    update(nowNanos, ownKnownVms);
    long mark = borrowed.renew(nowNanos, lender, shares);
    update(nowNanos, ownKnownVms);
    return mark;
  }

  /** Brings the owned share up to date. Must be called several times a second. */
  void update(long nowNanos, int ownKnownVms) {
    double before = share;
    double now = computeShare(nowNanos, ownKnownVms);
    shareSeconds += Math.min(before, now) * (nowNanos - countedNanos) / 1e9;
    countedNanos = nowNanos;
    share = now;
    if (now < before) {
      refillAll(nowNanos);
      shrunkAtShareSeconds = shareSeconds;
    }
    borrowed.forgetEnded(nowNanos);
  }

  private double computeShare(long nowNanos, int ownKnownVms) {
    if (!borrowed.isSettled(nowNanos)) {
      return 0;
    }
    int count = borrowed.countUntil(nowNanos);
    int vms = Math.max(count, Math.max(ownKnownVms, borrowed.knownVms(nowNanos)));
    return (double) count / vms;
  }

  private void refillAll(long nowNanos) {
    buckets.forEach(
        (tenant, bucket) ->
            bucket.refill(nowNanos, quotas.get(tenant), settings, shareSeconds, share));
  }

  /** Answers a question; empty if this VM doesn't know the tenant. */
  Optional<QuotaMessage.Grant> answer(long nowNanos, int ownKnownVms, QuotaMessage.Ask ask) {
    TenantQuota quota = quotas.get(ask.tenant());
    if (quota == null) {
      return Optional.empty();
    }
    update(nowNanos, ownKnownVms);
    QuotaBucket bucket =
        buckets.computeIfAbsent(
            ask.tenant(), tenant -> new QuotaBucket(nowNanos, shrunkAtShareSeconds));
    bucket.refill(nowNanos, quota, settings, shareSeconds, share);
    long batch = ++lastBatch;
    int count = bucket.take(ask.count(), batch, nowNanos + settings.permitNanos());
    long retryAfterNanos =
        count == ask.count()
            ? 0
            : bucket.retryAfterNanos(
                nowNanos, ask.count() - count, share * quota.requestsPerSecond());
    return Optional.of(
        new QuotaMessage.Grant(
            ask.tenant(),
            ask.ask(),
            batch,
            count,
            settings.permitNanos() / 1_000_000,
            retryAfterNanos / 1_000_000));
  }

  /** Takes back unused permits. */
  void putBack(QuotaMessage.Return returned) {
    QuotaBucket bucket = buckets.get(returned.tenant());
    if (bucket != null) {
      bucket.putBack(returned.batch(), returned.count());
    }
  }

  /** Returns the part of the quotas that this VM hands out, 0 to 1. */
  double share() {
    return share;
  }

  Optional<QuotaBucket> bucket(TenantName tenant) {
    return Optional.ofNullable(buckets.get(tenant));
  }
}
