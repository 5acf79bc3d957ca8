package org.mustardstage.core.member;

/**
 * The releases of the protocol between VMs. A release adds kinds of messages and fields; it changes
 * and removes none, so VMs of several releases run side by side while they are replaced.
 */
public final class PeerRelease {
  /** The first release that is supported beside this one. */
  public static final int FIRST = 1;

  /** VMs say whether they are cut off from all endpoints, and relay requests for those that are. */
  public static final int RELAYED_REQUESTS = 2;

  /** VMs know tenants, and take the hash of a caller's API key with a relayed request. */
  public static final int API_KEYS = 3;

  /** VMs hand out the quotas of tenants. */
  public static final int TENANT_QUOTAS = 3;

  /** VMs say which release they speak. */
  public static final int CURRENT = 3;

  private PeerRelease() {}
}
