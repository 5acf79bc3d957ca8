package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.member.MemberView;

/**
 * Keeps the requests to an endpoint that is in need within the rate that it has named, which is a
 * sum over all VMs. {@link LimitShares} decides how much of it this VM may use.
 *
 * <p>Limits are learned from responses and from other VMs. A VM that may not send to an endpoint
 * doesn't see its responses, so it learns from the others that the limit has changed or ended. In
 * case that news is lost, or nobody sends to the endpoint, the VMs try one after another.
 */
public final class EndpointLimits {
  private static final double BURST_REQUESTS = 2;

  /** How often a limit that stays in force is reported to other VMs. */
  private static final long REPORT_INTERVAL_NANOS = 5_000_000_000L;

  /** How long a limit holds without news before VMs try whether it still does. */
  private static final long TRIAL_AFTER_NANOS = 20_000_000_000L;

  /** The part of a limit that the trials of all VMs together use. */
  private static final double TRIAL_SHARE = 0.25;

  /** The rate of trials while the limit is smaller or 0. */
  private static final double MIN_TRIALS_PER_SECOND = 0.1;

  /**
   * How long the only sender leaves an endpoint without a request, so that it soon sees the limit
   * end.
   */
  private static final long NEGLECTED_NANOS = 1_500_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;

  /** How long a limit is remembered of which nothing is heard: a day. */
  private static final long MEMORY_NANOS = 86_400_000_000_000L;

  private final LimitShares shares;
  private final Function<ZoneId, RegionId> regionOf;
  private final Map<EndpointIncarnation, Limit> limits = new HashMap<>();

  /** A limit in force. */
  private static final class Limit {
    private final TokenBucket bucket;
    private double requestsPerSecond;
    private long heardNanos;

    /** From then on, the VMs try one after another whether the limit still holds. */
    private long trialsFromNanos;

    private long reportedNanos;
    private long sentNanos;

    Limit(long nowNanos) {
      this.sentNanos = nowNanos;
      this.bucket = new TokenBucket(nowNanos, 0, BURST_REQUESTS, /* initialTokens= */ 0);
    }
  }

  /**
   * What other VMs must hear.
   *
   * @param limit the limit
   * @param toAllRegions whether the VMs of other regions must hear it too
   */
  public record Report(EndpointLimit limit, boolean toAllRegions) {}

  /**
   * Creates the limits of a VM that has just started.
   *
   * @param regionOf returns the region of a zone
   */
  public EndpointLimits(VmId self, Function<ZoneId, RegionId> regionOf, long nowNanos) {
    this.shares = new LimitShares(self, nowNanos);
    this.regionOf = regionOf;
  }

  /** Replaces the view of the VMs. */
  public void setMembers(long nowNanos, MemberView view) {
    shares.setMembers(nowNanos, view);
  }

  /** Forgets the role of this VM for other endpoints than these; their limits are kept. */
  public void retainEndpoints(Set<EndpointId> endpoints) {
    shares.retainEndpoints(endpoints);
  }

  /**
   * Returns whether this VM is the one that sends to {@code endpoint} while it takes only a few
   * requests from all VMs together.
   */
  public boolean isOnlySender(long nowNanos, RegisteredEndpoint endpoint) {
    return shareOf(nowNanos, endpoint) > 0;
  }

  /** Returns whether this VM may send a request to {@code endpoint} now. */
  public boolean allowsRequest(long nowNanos, RegisteredEndpoint endpoint) {
    Limit limit = limits.get(EndpointIncarnation.of(endpoint));
    if (limit == null) {
      return true;
    }
    double share = shareOf(nowNanos, endpoint);
    limit.bucket.setRate(nowNanos, share * limit.requestsPerSecond);
    return (share > 0 && limit.bucket.hasToken(nowNanos)) || isTrialDue(nowNanos, endpoint, limit);
  }

  /** Returns whether no endpoint has a limit, as is usual. */
  boolean areNoneInForce() {
    return limits.isEmpty();
  }

  /**
   * Returns whether {@code endpoint} has a limit, this VM is the one that may send to it, and it
   * has sent nothing for some time. Requests that would rather run elsewhere must then go there, as
   * no other VM uses the endpoint or notices the end of its limit.
   */
  public boolean isNeglected(long nowNanos, RegisteredEndpoint endpoint) {
    Limit limit = limits.get(EndpointIncarnation.of(endpoint));
    return limit != null
        && nowNanos - limit.sentNanos >= NEGLECTED_NANOS
        && isOnlySender(nowNanos, endpoint)
        && allowsRequest(nowNanos, endpoint);
  }

  /** Returns which part of the endpoint's limit this VM may use, 0 to 1. */
  double shareOf(long nowNanos, RegisteredEndpoint endpoint) {
    return shares.shareOf(nowNanos, endpoint.id(), regionOf.apply(endpoint.zone()));
  }

  private int rankOf(RegisteredEndpoint endpoint) {
    return shares.rankOf(endpoint.id(), regionOf.apply(endpoint.zone()));
  }

  private boolean isTrialDue(long nowNanos, RegisteredEndpoint endpoint, Limit limit) {
    long dueNanos = limit.trialsFromNanos + (long) (rankOf(endpoint) * trialIntervalNanos(limit));
    return nowNanos - dueNanos >= 0;
  }

  /** Returns the time between the trials of two VMs. */
  private static double trialIntervalNanos(Limit limit) {
    double trialsPerSecond = Math.max(MIN_TRIALS_PER_SECOND, TRIAL_SHARE * limit.requestsPerSecond);
    return NANOS_PER_SECOND / trialsPerSecond;
  }

  /** Records that a request is sent to {@code endpoint}. */
  public void recordSent(long nowNanos, RegisteredEndpoint endpoint) {
    Limit limit = limits.get(EndpointIncarnation.of(endpoint));
    if (limit == null) {
      return;
    }
    limit.bucket.takeToken(nowNanos);
    limit.sentNanos = nowNanos;
    if (nowNanos - limit.trialsFromNanos >= 0) {
      int followingVms = shares.memberCount() - rankOf(endpoint);
      limit.trialsFromNanos =
          nowNanos + TRIAL_AFTER_NANOS + (long) (followingVms * trialIntervalNanos(limit));
    }
  }

  /**
   * Applies what an endpoint said in a response to a request that was sent at {@code sentNanos}.
   *
   * @return what other VMs must hear
   */
  public Optional<Report> recordResponse(
      long nowNanos, long sentNanos, RegisteredEndpoint endpoint, LimitNotice notice) {
    return switch (notice) {
      case LimitNotice.Unknown unknown -> Optional.empty();
      case LimitNotice.Limited limited -> recordLimit(nowNanos, endpoint, limited);
      case LimitNotice.Unlimited unlimited -> recordEnd(sentNanos, endpoint);
    };
  }

  private Optional<Report> recordLimit(
      long nowNanos, RegisteredEndpoint endpoint, LimitNotice.Limited limited) {
    EndpointLimit named =
        new EndpointLimit(
            EndpointIncarnation.of(endpoint), Optional.of(limited.requestsPerSecond()));
    boolean changed = put(nowNanos, named);
    Limit limit = limits.get(named.endpoint());
    if (!changed && nowNanos - limit.reportedNanos < REPORT_INTERVAL_NANOS) {
      return Optional.empty();
    }
    limit.reportedNanos = nowNanos;
    return Optional.of(new Report(named, /* toAllRegions= */ false));
  }

  /** Ends the limit, unless the request was sent before the limit was last heard of. */
  private Optional<Report> recordEnd(long sentNanos, RegisteredEndpoint endpoint) {
    EndpointIncarnation incarnation = EndpointIncarnation.of(endpoint);
    Limit limit = limits.get(incarnation);
    if (limit == null || sentNanos - limit.heardNanos < 0) {
      return Optional.empty();
    }
    limits.remove(incarnation);
    return Optional.of(
        new Report(new EndpointLimit(incarnation, Optional.empty()), /* toAllRegions= */ true));
  }

  /** Stores a limit in force; returns whether it is new or has changed. */
  private boolean put(long nowNanos, EndpointLimit named) {
    limits.values().removeIf(limit -> nowNanos - limit.heardNanos > MEMORY_NANOS);
    double requestsPerSecond = named.requestsPerSecond().orElseThrow();
    Limit known = limits.get(named.endpoint());
    Limit limit = known == null ? new Limit(nowNanos) : known;
    boolean changed = known == null || limit.requestsPerSecond != requestsPerSecond;
    limit.requestsPerSecond = requestsPerSecond;
    limit.heardNanos = nowNanos;
    limit.trialsFromNanos = nowNanos + TRIAL_AFTER_NANOS;
    limits.put(named.endpoint(), limit);
    return changed;
  }

  /** Applies what another VM reports. */
  public void applyReport(long nowNanos, EndpointLimit reported) {
    if (reported.requestsPerSecond().isPresent()) {
      put(nowNanos, reported);
    } else {
      limits.remove(reported.endpoint());
    }
  }

  /** Returns the limits in force, which a VM that has just started must hear. */
  public ImmutableSet<EndpointLimit> inForce() {
    return limits.entrySet().stream()
        .map(
            entry ->
                new EndpointLimit(entry.getKey(), Optional.of(entry.getValue().requestsPerSecond)))
        .collect(ImmutableSet.toImmutableSet());
  }
}
