package org.mustardstage.core.fairness;

import java.util.LinkedHashMap;
import java.util.Map;
import org.mustardstage.core.id.TenantName;

/**
 * Tells which tenants ask for more than their share of a service, from the requests that one VM
 * receives.
 *
 * <p>Handles a tenant that sends many times its usual, and callers that repeat rejected requests at
 * once, where many VMs each see a small sample: each request counts, also one that is rejected or
 * repeated. Each tenant has a virtual clock, as in the scheme of that name (Zhang, 1990): a request
 * advances it by one, and it falls back by the tenant's share of all requests with each request of
 * any tenant. The share is the usual one, but at least that of an equal division. Time is counted
 * in requests, so demand that rises for all tenants alike puts none of them above its share.
 */
public final class TenantShares {
  /** Factor on the usual share, as demand varies by itself. */
  private static final double HEADROOM = 1.5;

  /**
   * Requests by which a tenant may be ahead. Requests that arrive at random at the usual rate put
   * it further ahead in a few percent of cases, at the factor above.
   */
  private static final double TOLERANCE = 5;

  /** The most requests by which a tenant can be ahead; bounds the time until excess is forgiven. */
  private static final double MAX_LEAD = TOLERANCE + 2;

  /** Number of requests that determine the usual shares. */
  private static final double USUAL_REQUESTS = 500;

  /** Weight of requests above the share, so that a lasting change becomes usual, but slowly. */
  private static final double EXCESS_WEIGHT = 0.25;

  /** Bounds the memory; the tenant that was seen least recently is forgotten. */
  private static final int MAX_TENANTS = 1_024;

  private final Map<TenantName, Account> accounts =
      new LinkedHashMap<>(16, 0.75f, /* accessOrder= */ true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TenantName, Account> eldest) {
          return size() > MAX_TENANTS;
        }
      };
  private long requests;

  /** The state of a tenant as of its last request. */
  private static final class Account {
    private long lastRequest;
    private double usualShare;
    private double lead;
  }

  /**
   * Counts a request of {@code tenant}; returns whether the tenant asks for more than its share.
   */
  public boolean recordRequest(TenantName tenant) {
    requests++;
    Account account = accounts.computeIfAbsent(tenant, name -> new Account());
    long sinceLast = requests - account.lastRequest;
    account.lastRequest = requests;
    account.usualShare *= Math.exp(-sinceLast / USUAL_REQUESTS);
    double share = Math.max(account.usualShare / seenPart(), 1.0 / accounts.size());
    account.lead = Math.min(MAX_LEAD, Math.max(0, account.lead - HEADROOM * share * sinceLast) + 1);
    boolean isAboveShare = account.lead > TOLERANCE && requests > USUAL_REQUESTS / 4;
    account.usualShare += (isAboveShare ? EXCESS_WEIGHT : 1) / USUAL_REQUESTS;
    return isAboveShare;
  }

  /** Returns the weight of the requests seen so far in the usual shares, which approaches 1. */
  private double seenPart() {
    return 1 - Math.exp(-requests / USUAL_REQUESTS);
  }
}
