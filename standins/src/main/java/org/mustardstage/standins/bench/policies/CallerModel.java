package org.mustardstage.standins.bench.policies;

import com.google.common.primitives.ImmutableLongArray;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;
import org.mustardstage.core.manifest.Priority;

/**
 * Callers that arrive at random, wait until their deadline, try again at once when it passes and,
 * when refused, at the time they were told.
 */
final class CallerModel {
  private static final int MAX_TRIES = 4;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MAX_LATENCY_NANOS = 120_000_000_000L;

  private final EventQueue events;
  private final ModelService service;
  private final RandomGenerator random;
  private final LoadShape load;
  private final Consumer<Attempt> entry;
  private final Map<Priority, Histogram> latencies = new EnumMap<>(Priority.class);
  private final long[] goodPerWindow;
  private final long[] startedPerWindow;
  private long nextId;
  private long measureFromNanos;
  private double goodSlotNanos;
  private long started;
  private long good;
  private long refused;
  private long timedOut;
  private long gaveUp;

  CallerModel(
      EventQueue events,
      ModelService service,
      LoadShape load,
      RandomGenerator random,
      Consumer<Attempt> entry) {
    this.events = events;
    this.service = service;
    this.load = load;
    this.random = random;
    this.entry = entry;
    this.goodPerWindow = new long[load.windows()];
    this.startedPerWindow = new long[load.windows()];
    for (Priority priority : Priority.values()) {
      latencies.put(priority, new Histogram(MAX_LATENCY_NANOS, 3));
    }
  }

  void measureFrom(long nanos) {
    measureFromNanos = nanos;
  }

  /** Returns the time from a caller to an entry VM, one way. */
  long delayNanos() {
    return service.callerDelayNanos();
  }

  /** Schedules the next caller, and so on. */
  void start() {
    double perSecond = service.capacityPerSecond() * load.ratioAt(events.nowNanos());
    double gapNanos = -Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / perSecond;
    events.after(
        (long) gapNanos,
        () -> {
          CallType call = service.drawCall(random);
          startedPerWindow[load.windowAt(events.nowNanos())]++;
          started += isMeasured(events.nowNanos()) ? 1 : 0;
          attempt(call, service.drawRegion(random), 1);
          start();
        });
  }

  /** Takes the answer of an entry VM. */
  void answered(Attempt attempt) {
    events.after(service.callerDelayNanos(), () -> end(attempt));
  }

  /** Takes the refusal of an entry VM. */
  void refused(Attempt attempt, long retryAfterMillis) {
    events.after(
        service.callerDelayNanos(),
        () -> {
          if (!attempt.ended) {
            attempt.ended = true;
            refused += isMeasured(attempt.startNanos) ? 1 : 0;
            tryAgain(attempt, retryAfterMillis * NANOS_PER_MILLI);
          }
        });
  }

  RunResult result(double seconds, Headroom headroom) {
    return new RunResult(
        goodSlotNanos / (service.totalSlots() * seconds * NANOS_PER_SECOND),
        started,
        good,
        refused,
        timedOut,
        gaveUp,
        latencies,
        headroom,
        ImmutableLongArray.copyOf(goodPerWindow),
        ImmutableLongArray.copyOf(startedPerWindow));
  }

  private void attempt(CallType call, int region, int tries) {
    Attempt attempt =
        new Attempt(
            nextId++, call, region, tries, events.nowNanos(), call.drawServiceNanos(random));
    events.after(service.callerDelayNanos(), () -> entry.accept(attempt));
    events.after(call.deadlineNanos(), () -> timeOut(attempt));
  }

  private void end(Attempt attempt) {
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    goodPerWindow[load.windowAt(events.nowNanos())]++;
    if (isMeasured(events.nowNanos())) {
      good++;
      goodSlotNanos += attempt.serviceNanos;
      latencies.get(attempt.call.priority()).recordValue(events.nowNanos() - attempt.startNanos);
    }
  }

  private void timeOut(Attempt attempt) {
    if (!attempt.ended) {
      attempt.ended = true;
      timedOut += isMeasured(attempt.startNanos) ? 1 : 0;
      tryAgain(attempt, 0);
    }
  }

  private void tryAgain(Attempt attempt, long afterNanos) {
    if (attempt.tries < MAX_TRIES) {
      events.after(afterNanos, () -> attempt(attempt.call, attempt.region, attempt.tries + 1));
    } else {
      gaveUp += isMeasured(attempt.startNanos) ? 1 : 0;
    }
  }

  private boolean isMeasured(long nanos) {
    return nanos >= measureFromNanos;
  }
}
