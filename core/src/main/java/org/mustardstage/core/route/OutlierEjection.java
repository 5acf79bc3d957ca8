package org.mustardstage.core.route;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.route.EjectionState.Active;
import org.mustardstage.core.route.EjectionState.Ejected;
import org.mustardstage.core.route.EjectionState.Probing;

/**
 * Outlier detection: ejects endpoints that fail or that are slow compared with the median, but
 * never more than a share of them at the same time. An ejection lasts longer each time. After it,
 * single probe requests decide whether the endpoint is restored or ejected again.
 */
public final class OutlierEjection {
  private static final Active NEVER_EJECTED = new Active(0, 0);

  private final EjectionSettings settings;
  private final Map<EndpointId, EjectionState> ejectedOrProbing = new HashMap<>();
  private final Map<EndpointId, Active> restored = new HashMap<>();
  private int maxEjected;

  /** Creates a detector without endpoints. */
  public OutlierEjection(EjectionSettings settings) {
    this.settings = settings;
  }

  /**
   * Replaces the set of endpoints and drops the state of all others. Restores endpoints when more
   * are ejected than the new number of endpoints allows.
   */
  public void updateEndpoints(Set<EndpointId> endpoints) {
    ejectedOrProbing.keySet().retainAll(endpoints);
    restored.keySet().retainAll(endpoints);
    maxEjected = (int) Math.floor(settings.maxEjectedShare() * endpoints.size());
    Iterator<EndpointId> ejected = ejectedOrProbing.keySet().iterator();
    for (int excess = ejectedOrProbing.size() - maxEjected; excess > 0; excess--) {
      ejected.next();
      ejected.remove();
    }
  }

  /** Returns the state of {@code endpoint}, active when it was never ejected. */
  public EjectionState stateOf(EndpointId endpoint) {
    EjectionState state = ejectedOrProbing.get(endpoint);
    return state == null ? restored.getOrDefault(endpoint, NEVER_EJECTED) : state;
  }

  /** Returns the number of endpoints that are ejected or being probed. */
  public int ejectedOrProbingCount() {
    return ejectedOrProbing.size();
  }

  /**
   * Returns whether a request may be sent to {@code endpoint}.
   *
   * @param mayProbe whether the request may serve as a probe
   */
  public boolean mayReceive(EndpointId endpoint, boolean mayProbe) {
    if (ejectedOrProbing.isEmpty()) {
      return true;
    }
    return switch (stateOf(endpoint)) {
      case Active active -> true;
      case Ejected ejected -> false;
      case Probing probing -> mayProbe && !probing.probeInFlight();
    };
  }

  /**
   * Ejects an active endpoint whose health makes it an outlier, and starts probing one whose
   * ejection has ended. Returns whether the endpoint was ejected by this call.
   */
  public boolean evaluate(
      long nowNanos, EndpointId endpoint, EndpointHealth health, double medianNanos) {
    return switch (stateOf(endpoint)) {
      case Active active ->
          isOutlier(nowNanos, health, medianNanos) && eject(nowNanos, endpoint, active);
      case Ejected ejected -> {
        startProbingIfDue(nowNanos, endpoint, ejected);
        yield false;
      }
      case Probing probing -> false;
    };
  }

  /** Marks a probe as in flight if the endpoint is being probed. */
  public void recordSent(EndpointId endpoint) {
    if (stateOf(endpoint) instanceof Probing probing) {
      ejectedOrProbing.put(
          endpoint, new Probing(true, probing.successfulProbes(), probing.ejections()));
    }
  }

  /**
   * Counts the result of a probe: a failed or slow one ejects the endpoint again, enough successful
   * ones restore it. Returns whether the endpoint was restored by this call.
   */
  public boolean recordResult(
      long nowNanos, EndpointId endpoint, boolean failed, double serviceNanos, double medianNanos) {
    if (!(stateOf(endpoint) instanceof Probing probing)) {
      return false;
    }
    if (failed || isSlow(serviceNanos, medianNanos)) {
      ejectedOrProbing.put(endpoint, newEjection(nowNanos, probing.ejections() + 1));
      return false;
    }
    return recordSuccessfulProbe(nowNanos, endpoint, probing);
  }

  /** Allows another probe, since the one recorded as sent never reached the endpoint. */
  public void recordNeverSent(EndpointId endpoint) {
    if (stateOf(endpoint) instanceof Probing probing) {
      ejectedOrProbing.put(
          endpoint, new Probing(false, probing.successfulProbes(), probing.ejections()));
    }
  }

  private boolean isOutlier(long nowNanos, EndpointHealth health, double medianNanos) {
    if (health.samples(nowNanos) < settings.minSamples()) {
      return false;
    }
    boolean fails = health.failureShare() > settings.maxFailureShare();
    return fails || isSlow(health.serviceNanos(nowNanos, medianNanos), medianNanos);
  }

  private boolean isSlow(double serviceNanos, double medianNanos) {
    return medianNanos > 0 && serviceNanos > settings.maxSlowdown() * medianNanos;
  }

  private boolean eject(long nowNanos, EndpointId endpoint, Active active) {
    if (ejectedOrProbing.size() >= maxEjected) {
      return false;
    }
    ejectedOrProbing.put(endpoint, newEjection(nowNanos, recentEjections(nowNanos, active) + 1));
    return true;
  }

  private int recentEjections(long nowNanos, Active active) {
    boolean isExpired = nowNanos - active.sinceNanos() > settings.maxEjectionNanos();
    return isExpired ? 0 : active.earlierEjections();
  }

  private void startProbingIfDue(long nowNanos, EndpointId endpoint, Ejected ejected) {
    if (nowNanos >= ejected.untilNanos()) {
      ejectedOrProbing.put(endpoint, new Probing(false, 0, ejected.ejections()));
    }
  }

  private Ejected newEjection(long nowNanos, int ejections) {
    double doubled = settings.baseEjectionNanos() * Math.pow(2, ejections - 1.0);
    long durationNanos = (long) Math.min((double) settings.maxEjectionNanos(), doubled);
    return new Ejected(nowNanos + durationNanos, ejections);
  }

  private boolean recordSuccessfulProbe(long nowNanos, EndpointId endpoint, Probing probing) {
    int goodProbes = probing.successfulProbes() + 1;
    if (goodProbes < settings.requiredProbeSuccesses()) {
      ejectedOrProbing.put(endpoint, new Probing(false, goodProbes, probing.ejections()));
      return false;
    }
    ejectedOrProbing.remove(endpoint);
    restored.put(endpoint, new Active(nowNanos, probing.ejections()));
    return true;
  }
}
