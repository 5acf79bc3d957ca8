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
 * Keeps endpoints out of the choice that fail or are slow compared with the others, never more than
 * a share of them at once, and lets them back in by single probes.
 */
public final class OutlierEjection {
  private static final Active NEW = new Active(0, 0);

  private final EjectionSettings settings;
  private final Map<EndpointId, EjectionState> out = new HashMap<>();
  private final Map<EndpointId, Active> returned = new HashMap<>();
  private int maxOut;

  /** Creates a state in which no endpoint takes part yet. */
  public OutlierEjection(EjectionSettings settings) {
    this.settings = settings;
  }

  /** Takes over which endpoints may be chosen at all; states of others are forgotten. */
  public void onEndpoints(Set<EndpointId> endpoints) {
    out.keySet().retainAll(endpoints);
    returned.keySet().retainAll(endpoints);
    maxOut = (int) Math.floor(settings.maxEjectedShare() * endpoints.size());
    Iterator<EndpointId> ejected = out.keySet().iterator();
    for (int excess = out.size() - maxOut; excess > 0; excess--) {
      ejected.next();
      ejected.remove();
    }
  }

  /** Returns the state of {@code endpoint}. */
  public EjectionState stateOf(EndpointId endpoint) {
    EjectionState state = out.get(endpoint);
    return state == null ? returned.getOrDefault(endpoint, NEW) : state;
  }

  /** Returns the number of endpoints that are ejected or on probation. */
  public int countOut() {
    return out.size();
  }

  /** Returns whether a request may go to {@code endpoint}, one that may serve as a probe or not. */
  public boolean mayTake(EndpointId endpoint, boolean mayProbe) {
    if (out.isEmpty()) {
      return true;
    }
    return switch (stateOf(endpoint)) {
      case Active active -> true;
      case Ejected ejected -> false;
      case Probing probing -> mayProbe && !probing.probeRuns();
    };
  }

  /** Judges an endpoint by its health; returns whether it was ejected now. */
  public boolean judge(
      long nowNanos, EndpointId endpoint, EndpointHealth health, double medianNanos) {
    return switch (stateOf(endpoint)) {
      case Active active ->
          isOutlier(nowNanos, health, medianNanos) && eject(nowNanos, endpoint, active);
      case Ejected ejected -> {
        endEjection(nowNanos, endpoint, ejected);
        yield false;
      }
      case Probing probing -> false;
    };
  }

  /** Notes that a request goes to the endpoint. */
  public void onSent(EndpointId endpoint) {
    if (stateOf(endpoint) instanceof Probing probing) {
      out.put(endpoint, new Probing(true, probing.goodProbes(), probing.ejections()));
    }
  }

  /** Notes the end of a request; returns whether the endpoint takes part again. */
  public boolean onEnd(
      long nowNanos, EndpointId endpoint, boolean failed, double serviceNanos, double medianNanos) {
    if (!(stateOf(endpoint) instanceof Probing probing)) {
      return false;
    }
    if (failed || isSlow(serviceNanos, medianNanos)) {
      out.put(endpoint, ejected(nowNanos, probing.ejections() + 1));
      return false;
    }
    return countGoodProbe(nowNanos, endpoint, probing);
  }

  /** Notes that a request that was counted as sent never reached the endpoint. */
  public void onNeverSent(EndpointId endpoint) {
    if (stateOf(endpoint) instanceof Probing probing) {
      out.put(endpoint, new Probing(false, probing.goodProbes(), probing.ejections()));
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
    if (out.size() >= maxOut) {
      return false;
    }
    out.put(endpoint, ejected(nowNanos, recentEjections(nowNanos, active) + 1));
    return true;
  }

  private int recentEjections(long nowNanos, Active active) {
    boolean isOld = nowNanos - active.sinceNanos() > settings.maxEjectionNanos();
    return isOld ? 0 : active.earlierEjections();
  }

  private void endEjection(long nowNanos, EndpointId endpoint, Ejected ejected) {
    if (nowNanos >= ejected.untilNanos()) {
      out.put(endpoint, new Probing(false, 0, ejected.ejections()));
    }
  }

  private Ejected ejected(long nowNanos, int ejections) {
    double doubled = settings.baseEjectionNanos() * Math.pow(2, ejections - 1.0);
    long lastsNanos = (long) Math.min((double) settings.maxEjectionNanos(), doubled);
    return new Ejected(nowNanos + lastsNanos, ejections);
  }

  private boolean countGoodProbe(long nowNanos, EndpointId endpoint, Probing probing) {
    int goodProbes = probing.goodProbes() + 1;
    if (goodProbes < settings.probesToReturn()) {
      out.put(endpoint, new Probing(false, goodProbes, probing.ejections()));
      return false;
    }
    out.remove(endpoint);
    returned.put(endpoint, new Active(nowNanos, probing.ejections()));
    return true;
  }
}
