package org.mustardstage.entry.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.mustardstage.core.hedge.HedgePolicy;
import org.mustardstage.core.hedge.HedgeSettings;
import org.mustardstage.core.hedge.SlotUse;
import org.mustardstage.core.id.ServiceName;

/** The hedge policies of the services on this VM; does nothing while hedging is off. */
final class ServiceHedges {
  private final HedgeSettings settings;
  private final LongSupplier clock;
  private final Map<ServiceName, HedgePolicy> policies = new HashMap<>();

  ServiceHedges(HedgeSettings settings, LongSupplier clock) {
    this.settings = settings;
    this.clock = clock;
  }

  private HedgePolicy policyOf(ServiceName service) {
    return policies.computeIfAbsent(service, s -> new HedgePolicy(settings, clock.getAsLong()));
  }

  void recordFirstAttempt(ServiceName service) {
    if (settings.isOn()) {
      policyOf(service).recordFirstAttempt();
    }
  }

  void recordResponse(ServiceName service, long expectedNanos, long elapsedNanos) {
    if (settings.isOn()) {
      policyOf(service).recordResponse(clock.getAsLong(), expectedNanos, elapsedNanos);
    }
  }

  /** Returns how long after its start an attempt gets a hedge; empty if it gets none. */
  OptionalLong delayMillis(ServiceName service, long expectedMillis, long remainingMillis) {
    if (!settings.isOn()) {
      return OptionalLong.empty();
    }
    OptionalLong delayNanos =
        policyOf(service)
            .delayNanos(
                clock.getAsLong(),
                TimeUnit.MILLISECONDS.toNanos(expectedMillis),
                TimeUnit.MILLISECONDS.toNanos(remainingMillis));
    return delayNanos.isPresent()
        ? OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(delayNanos.getAsLong()) + 1)
        : OptionalLong.empty();
  }

  boolean tryAcquire(ServiceName service, SlotUse use) {
    return settings.isOn() && policyOf(service).tryAcquire(use);
  }
}
