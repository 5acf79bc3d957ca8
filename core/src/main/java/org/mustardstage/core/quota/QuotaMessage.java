package org.mustardstage.core.quota;

import org.mustardstage.core.id.TenantName;

/**
 * A message between VMs about quotas. Messages may be lost or late, but are not duplicated. They
 * hold durations and no clock times; a duration counts from when its receiver sent the message that
 * is answered, so a late answer shortens it.
 */
public sealed interface QuotaMessage {
  /**
   * Lends shares of all quotas of a group to the receiver.
   *
   * @param group the group of tenants; {@link #ALL_GROUPS} from a VM to the one that collects the
   *     shares of its zone
   * @param shareCount the number of VMs whose shares are lent
   * @param mark the last mark that the receiver has sent, from whose sending the loan counts
   * @param knownVms the number of VMs that the sender knows
   * @param settled whether the sender has run for long enough to know all VMs
   */
  record Shares(int group, int shareCount, long mark, int knownVms, boolean settled)
      implements QuotaMessage {}

  /** Acknowledges {@link Shares} with a number that stands for the time of sending. */
  record Mark(int group, long mark) implements QuotaMessage {}

  /** Asks for permits. */
  record Ask(TenantName tenant, long ask, int count) implements QuotaMessage {}

  /**
   * Answers {@link Ask}.
   *
   * @param tenant the tenant
   * @param ask the number of the question
   * @param batch identifies the granted permits at the sender
   * @param count the number of granted permits; fewer than asked for if the quota is used up
   * @param validMillis how long after the question was sent they may be used
   * @param retryAfterMillis when the quota allows the next request, if it is used up
   */
  record Grant(
      TenantName tenant, long ask, long batch, int count, long validMillis, long retryAfterMillis)
      implements QuotaMessage {}

  /** Returns permits that were not used. */
  record Return(TenantName tenant, long batch, int count) implements QuotaMessage {}

  /** Stands for all groups of tenants. */
  int ALL_GROUPS = -1;
}
