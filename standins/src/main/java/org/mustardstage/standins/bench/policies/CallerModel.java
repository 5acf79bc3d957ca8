package org.mustardstage.standins.bench.policies;

import com.google.common.primitives.ImmutableLongArray;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;
import org.mustardstage.core.manifest.Priority;

/**
 * Simulates callers that arrive as a Poisson process. A caller retries immediately when its request
 * times out, and after the delay that the entry VM asked for when its request is rejected.
 */
final class CallerModel {
  private static final int MAX_ATTEMPTS = 4;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MAX_LATENCY_NANOS = 120_000_000_000L;

  private final VirtualTimeScheduler scheduler;
  private final ServiceModel service;
  private final RandomGenerator random;
  private final LoadShape load;
  private final Consumer<CallerRequest> entryVms;
  private final Map<Priority, Histogram> latencies = new EnumMap<>(Priority.class);
  private final long[] succeededPerWindow;
  private final long[] arrivalsPerWindow;
  private long nextId;
  private long measurementStartNanos;
  private double succeededSlotNanos;
  private long arrivals;
  private long succeeded;
  private long rejected;
  private long timedOut;
  private long abandoned;

  CallerModel(
      VirtualTimeScheduler scheduler,
      ServiceModel service,
      LoadShape load,
      RandomGenerator random,
      Consumer<CallerRequest> entryVms) {
    this.scheduler = scheduler;
    this.service = service;
    this.load = load;
    this.random = random;
    this.entryVms = entryVms;
    this.succeededPerWindow = new long[load.windowCount()];
    this.arrivalsPerWindow = new long[load.windowCount()];
    for (Priority priority : Priority.values()) {
      latencies.put(priority, new Histogram(MAX_LATENCY_NANOS, 3));
    }
  }

  void setMeasurementStart(long nanos) {
    measurementStartNanos = nanos;
  }

  /** Returns the one-way network delay between a caller and an entry VM. */
  long oneWayDelayNanos() {
    return service.callerOneWayDelayNanos();
  }

  /** Schedules the next arrival, which schedules the one after it. */
  void scheduleNextArrival() {
    double perSecond = service.capacityPerSecond() * load.ratioAt(scheduler.nowNanos());
    double gapNanos = -Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / perSecond;
    scheduler.schedule(
        (long) gapNanos,
        () -> {
          CallType call = service.drawCallType(random);
          arrivalsPerWindow[load.windowIndexAt(scheduler.nowNanos())]++;
          arrivals += isInMeasurement(scheduler.nowNanos()) ? 1 : 0;
          send(call, service.drawRegion(random), 1);
          scheduleNextArrival();
        });
  }

  /** Completes the request when the response of the entry VM reaches the caller. */
  void handleResponse(CallerRequest request) {
    scheduler.schedule(service.callerOneWayDelayNanos(), () -> complete(request));
  }

  /** Schedules a retry when the rejection by the entry VM reaches the caller. */
  void handleRejection(CallerRequest request, long retryAfterMillis) {
    scheduler.schedule(
        service.callerOneWayDelayNanos(),
        () -> {
          if (!request.ended) {
            request.ended = true;
            rejected += isInMeasurement(request.startNanos) ? 1 : 0;
            scheduleRetry(request, retryAfterMillis * NANOS_PER_MILLI);
          }
        });
  }

  RunResult result(double seconds, Headroom headroom) {
    return new RunResult(
        succeededSlotNanos / (service.totalSlots() * seconds * NANOS_PER_SECOND),
        arrivals,
        succeeded,
        rejected,
        timedOut,
        abandoned,
        latencies,
        headroom,
        ImmutableLongArray.copyOf(succeededPerWindow),
        ImmutableLongArray.copyOf(arrivalsPerWindow));
  }

  private void send(CallType call, int region, int attemptNumber) {
    CallerRequest request =
        new CallerRequest(
            nextId++,
            call,
            region,
            attemptNumber,
            scheduler.nowNanos(),
            call.drawServiceTimeNanos(random));
    scheduler.schedule(service.callerOneWayDelayNanos(), () -> entryVms.accept(request));
    scheduler.schedule(call.timeoutNanos(), () -> handleTimeout(request));
  }

  private void complete(CallerRequest request) {
    if (request.ended) {
      return;
    }
    request.ended = true;
    succeededPerWindow[load.windowIndexAt(scheduler.nowNanos())]++;
    if (isInMeasurement(scheduler.nowNanos())) {
      succeeded++;
      succeededSlotNanos += request.serviceTimeNanos;
      latencies.get(request.call.priority()).recordValue(scheduler.nowNanos() - request.startNanos);
    }
  }

  private void handleTimeout(CallerRequest request) {
    if (!request.ended) {
      request.ended = true;
      timedOut += isInMeasurement(request.startNanos) ? 1 : 0;
      scheduleRetry(request, 0);
    }
  }

  private void scheduleRetry(CallerRequest request, long delayNanos) {
    if (request.attemptNumber < MAX_ATTEMPTS) {
      scheduler.schedule(
          delayNanos, () -> send(request.call, request.region, request.attemptNumber + 1));
    } else {
      abandoned += isInMeasurement(request.startNanos) ? 1 : 0;
    }
  }

  private boolean isInMeasurement(long nanos) {
    return nanos >= measurementStartNanos;
  }
}
