package org.mustardstage.core.hedge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Replays a tail of slow responses in virtual time, with and without hedges, over several VMs. */
class HedgePolicyTest {
  private static final long MILLI = 1_000_000L;
  private static final int VMS = 20;
  private static final int ENDPOINTS = 16;
  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 100;
  private static final double EXTRA_SHARE = 0.05;
  private static final long SECONDS = 60;

  /** How an endpoint is slower than expected. */
  private interface Slowness {
    double factor(int endpoint, long nowNanos, SplittableRandom random);
  }

  private static final Slowness NONE = (endpoint, now, random) -> 1;
  private static final Slowness ONE_IN_EIGHT =
      (endpoint, now, random) -> endpoint % 8 == 0 ? 10 : 1;
  private static final Slowness RARE_PAUSES =
      (endpoint, now, random) -> random.nextDouble() < 0.02 ? 15 : 1;
  private static final Slowness ALL_SLOW =
      (endpoint, now, random) -> now > 20_000 * MILLI && now < 40_000 * MILLI ? 8 : 1;

  private record Result(List<Long> sortedNanos, int requests, int hedges, List<Long> hedgeNanos) {
    double percentileMillis(double percentile) {
      int index = (int) Math.min(sortedNanos.size() - 1, sortedNanos.size() * percentile);
      return sortedNanos.get(index) / (double) MILLI;
    }
  }

  /** Every attempt goes to the less busy of two endpoints drawn at random. */
  private static Result play(Slowness slowness, double load, double extraShare, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    HedgePolicy[] policies = new HedgePolicy[VMS];
    Arrays.setAll(policies, i -> new HedgePolicy(new HedgeSettings(extraShare), 0));
    List<PriorityQueue<Long>> busyUntil = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      busyUntil.add(new PriorityQueue<>());
    }
    double gapNanos = WORK_MILLIS * MILLI / (load * ENDPOINTS * SLOTS);
    List<Long> responses = new ArrayList<>();
    List<Long> hedgeNanos = new ArrayList<>();
    PriorityQueue<Event> events = new PriorityQueue<>();
    for (double at = 0; at < SECONDS * 1_000 * MILLI; at += gapNanos * 2 * random.nextDouble()) {
      events.add(new Event((long) at, -1, -1, 0));
    }
    while (!events.isEmpty()) {
      Event event = events.poll();
      long now = event.nanos();
      if (event.startNanos() < 0) {
        HedgePolicy policy = policies[random.nextInt(VMS)];
        policy.recordFirstAttempt();
        int endpoint = lessBusyOfTwo(busyUntil, now, random);
        long end = run(busyUntil.get(endpoint), now, work(slowness, endpoint, now, random));
        OptionalLong delay = policy.delayNanos(now, WORK_MILLIS * MILLI, 5_000 * MILLI);
        if (delay.isPresent() && now + delay.getAsLong() < end) {
          events.add(
              new Event(
                  now + delay.getAsLong(), now, Arrays.asList(policies).indexOf(policy), end));
        } else {
          responses.add(end - now);
          policy.recordResponse(now, WORK_MILLIS * MILLI, end - now);
        }
        continue;
      }
      HedgePolicy policy = policies[event.vm()];
      int busy = busyUntil.stream().mapToInt(queue -> busySlots(queue, now)).sum();
      long end = event.endNanos();
      if (policy.tryAcquire(new SlotUse(ENDPOINTS * SLOTS, busy, 0))) {
        hedgeNanos.add(now);
        int other = lessBusyOfTwo(busyUntil, now, random);
        end = Math.min(end, run(busyUntil.get(other), now, work(slowness, other, now, random)));
      }
      responses.add(end - event.startNanos());
      policy.recordResponse(now, WORK_MILLIS * MILLI, end - event.startNanos());
    }
    List<Long> sorted = responses.stream().sorted().toList();
    return new Result(sorted, responses.size(), hedgeNanos.size(), hedgeNanos);
  }

  private record Event(long nanos, long startNanos, int vm, long endNanos)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return Long.compare(nanos, other.nanos);
    }
  }

  private static long work(Slowness slowness, int endpoint, long now, SplittableRandom random) {
    double usual = WORK_MILLIS * MILLI * (0.8 + 0.4 * random.nextDouble());
    return (long) (usual * slowness.factor(endpoint, now, random));
  }

  private static int lessBusyOfTwo(
      List<PriorityQueue<Long>> busyUntil, long now, SplittableRandom random) {
    int first = random.nextInt(ENDPOINTS);
    int second = random.nextInt(ENDPOINTS);
    return busySlots(busyUntil.get(first), now) <= busySlots(busyUntil.get(second), now)
        ? first
        : second;
  }

  private static int busySlots(PriorityQueue<Long> busyUntil, long now) {
    return (int) busyUntil.stream().filter(end -> end > now).count();
  }

  /** Returns when a request that is sent now ends, after those that occupy all slots. */
  private static long run(PriorityQueue<Long> busyUntil, long now, long workNanos) {
    while (!busyUntil.isEmpty() && busyUntil.peek() <= now) {
      busyUntil.poll();
    }
    long startNanos = busyUntil.size() < SLOTS ? now : busyUntil.poll();
    busyUntil.add(startNanos + workNanos);
    return startNanos + workNanos;
  }

  private static void print(String load, Result without, Result with) {
    System.out.printf(
        "%s: p50 %.0f to %.0f, p99 %.0f to %.0f, p99.9 %.0f to %.0f ms; hedges %.4f of requests%n",
        load,
        without.percentileMillis(0.5),
        with.percentileMillis(0.5),
        without.percentileMillis(0.99),
        with.percentileMillis(0.99),
        without.percentileMillis(0.999),
        with.percentileMillis(0.999),
        with.hedges() / (double) with.requests());
  }

  private static void assertWithinLimit(Result result) {
    assertThat((double) result.hedges(), lessThanOrEqualTo(EXTRA_SHARE * result.requests() + VMS));
  }

  @Test
  void rarePausesAreCutWithinTheLimit() {
    Result without = play(RARE_PAUSES, 0.4, 0, 1);
    Result with = play(RARE_PAUSES, 0.4, EXTRA_SHARE, 1);
    print("rare pauses", without, with);
    assertThat(with.percentileMillis(0.99), lessThan(without.percentileMillis(0.99) / 2));
    assertWithinLimit(with);
  }

  @Test
  void slowEndpointsAreCutAsFarAsTheLimitAllows() {
    Result without = play(ONE_IN_EIGHT, 0.3, 0, 2);
    Result with = play(ONE_IN_EIGHT, 0.3, EXTRA_SHARE, 2);
    print("one endpoint in eight 10 times slower", without, with);
    assertThat(with.hedges(), is(greaterThan(0)));
    assertWithinLimit(with);
  }

  @Test
  void nothingIsHedgedAt95PercentLoad() {
    Result without = play(NONE, 0.95, 0, 3);
    Result with = play(NONE, 0.95, EXTRA_SHARE, 3);
    print("95% load", without, with);
    assertThat(with.hedges() / (double) with.requests(), lessThan(0.002));
  }

  /** Guards against extra work that keeps a service slow after the cause has gone. */
  @Test
  void hedgesEndWhileEverythingIsSlowAndTheServiceRecovers() {
    Result with = play(ALL_SLOW, 0.4, EXTRA_SHARE, 4);
    long whileSlow =
        with.hedgeNanos().stream().filter(at -> at > 22_000 * MILLI && at < 40_000 * MILLI).count();
    print("all endpoints 8 times slower for 20 s", play(ALL_SLOW, 0.4, 0, 4), with);
    assertThat((double) whileSlow, lessThan(0.001 * with.requests()));
  }

  @Test
  void nothingIsHedgedWithoutLimitOrWithoutKnownLatencies() {
    HedgePolicy unknown = new HedgePolicy(new HedgeSettings(EXTRA_SHARE), 0);
    assertThat(unknown.delayNanos(0, 100, 10_000), is(OptionalLong.empty()));
    HedgePolicy off = new HedgePolicy(HedgeSettings.OFF, 0);
    for (int i = 0; i < 1_000; i++) {
      off.recordFirstAttempt();
    }
    assertThat(off.tryAcquire(new SlotUse(10, 0, 0)), is(false));
  }
}
