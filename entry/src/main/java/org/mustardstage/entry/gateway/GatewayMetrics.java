package org.mustardstage.entry.gateway;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.mustardstage.core.gateway.Rule;

/**
 * Counts requests by rule and end, and how long they took, in the text format of Prometheus. The
 * client library is loaded when the counters are first asked for, which keeps it out of a restart.
 */
final class GatewayMetrics {
  /** Upper bounds of the latency buckets, in milliseconds. */
  private static final long[] BUCKETS_MILLIS = {
    25, 50, 100, 200, 300, 500, 800, 1_200, 2_000, 4_000, 8_000
  };

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Map<Key, LongAdder> counts = new ConcurrentHashMap<>();
  private final Map<String, Latency> latencies = new ConcurrentHashMap<>();

  private record Key(String rule, String end) {}

  private static final class Latency {
    private final LongAdder[] buckets = new LongAdder[BUCKETS_MILLIS.length + 1];
    private final LongAdder sumMillis = new LongAdder();

    Latency() {
      for (int i = 0; i < buckets.length; i++) {
        buckets[i] = new LongAdder();
      }
    }

    void observe(long millis) {
      int i = 0;
      while (i < BUCKETS_MILLIS.length && millis > BUCKETS_MILLIS[i]) {
        i++;
      }
      buckets[i].increment();
      sumMillis.add(millis);
    }
  }

  /** Counts a request that has its answer. */
  void ended(Rule rule, ExchangeEnd end, long tookNanos) {
    counts.computeIfAbsent(new Key(rule.name(), nameOf(end)), key -> new LongAdder()).increment();
    latencies
        .computeIfAbsent(rule.name(), name -> new Latency())
        .observe(tookNanos / NANOS_PER_MILLI);
  }

  private static String nameOf(ExchangeEnd end) {
    return switch (end) {
      case ExchangeEnd.Answered answered -> "answered_" + answered.reply().status() / 100 + "xx";
      case ExchangeEnd.NotRun notRun -> "not_run";
      case ExchangeEnd.Unknown unknown -> "unknown";
      case ExchangeEnd.CallerLeft left -> "caller_left";
    };
  }

  /** Returns all counters and histograms as text. */
  String text() {
    StringBuilder text = new StringBuilder();
    text.append("# TYPE mustardstage_requests counter\n");
    Map<String, Long> sorted = new TreeMap<>();
    counts.forEach(
        (key, count) ->
            sorted.put(
                "mustardstage_requests_total{rule=\"%s\",end=\"%s\"}"
                    .formatted(key.rule(), key.end()),
                count.sum()));
    sorted.forEach((name, count) -> text.append(name).append(' ').append(count).append('\n'));
    text.append("# TYPE mustardstage_request_millis histogram\n");
    new TreeMap<>(latencies).forEach((rule, latency) -> append(text, rule, latency));
    return text.toString();
  }

  private static void append(StringBuilder text, String rule, Latency latency) {
    long cumulated = 0;
    for (int i = 0; i <= BUCKETS_MILLIS.length; i++) {
      cumulated += latency.buckets[i].sum();
      String bound = i < BUCKETS_MILLIS.length ? Long.toString(BUCKETS_MILLIS[i]) : "+Inf";
      text.append("mustardstage_request_millis_bucket{rule=\"")
          .append(rule)
          .append("\",le=\"")
          .append(bound)
          .append("\"} ")
          .append(cumulated)
          .append('\n');
    }
    text.append(
        "mustardstage_request_millis_sum{rule=\"%s\"} %d\n"
            .formatted(rule, latency.sumMillis.sum()));
    text.append("mustardstage_request_millis_count{rule=\"%s\"} %d\n".formatted(rule, cumulated));
  }
}
