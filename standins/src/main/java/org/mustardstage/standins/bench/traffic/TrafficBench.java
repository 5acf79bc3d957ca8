package org.mustardstage.standins.bench.traffic;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.standins.bench.traffic.Load.Result;

/**
 * Measures the request path over loopback in one process: the latency that it adds to a direct call
 * at half load, and look-ups a second of processor time.
 */
public final class TrafficBench {
  private static final int CONCURRENCY = 32;
  private static final int DEFAULT_SECONDS = 5;
  private static final double HALF = 0.5;
  private static final String LOOKUP = "/v1/lookup?service=desk&address=10.1.2.3";

  private final int seconds;

  private TrafficBench(int seconds) {
    this.seconds = seconds;
  }

  /** Runs the benchmark; the first argument, if any, is the number of seconds of each part. */
  public static void main(String[] args) throws IOException {
    int seconds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SECONDS;
    new TrafficBench(seconds).run();
    System.exit(0);
  }

  private void run() throws IOException {
    HostAndPort endpointAddress = Addresses.free();
    try (BenchEndpoint endpoint = new BenchEndpoint(endpointAddress)) {
      try (BenchEntry entry = new BenchEntry(Addresses.free(), endpoint.endpoint());
          Load direct = new Load("direct", "http://" + endpointAddress + "/read");
          Load carried = new Load("carried", "http://" + entry.address() + "/read");
          Load lookups = new Load("lookups", "http://" + entry.address() + LOOKUP)) {
        measureAddedLatency(direct, carried);
        measureLookups(direct, lookups);
      }
    }
  }

  private void measureAddedLatency(Load direct, Load carried) {
    direct.runClosed(CONCURRENCY, seconds);
    carried.runClosed(CONCURRENCY, seconds);
    Closed most = measureClosed("requests carried", carried, "traffic-");
    double rate = most.result().perSecond() * HALF;
    direct.runOpen(rate, seconds);
    carried.runOpen(rate, seconds);
    Result alone = direct.runOpen(rate, seconds);
    Result through = carried.runOpen(rate, seconds);
    print("direct, %d/s open loop", (int) rate, alone);
    print("carried, %d/s open loop", (int) rate, through);
    for (double percentile : new double[] {50, 99, 99.9}) {
      double before = alone.millisAt(percentile);
      double after = through.millisAt(percentile);
      System.out.printf(
          "added at p%s: %.3f ms (%.2f times direct)%n",
          percentile, after - before, after / before);
    }
  }

  private void measureLookups(Load bare, Load lookups) {
    lookups.runClosed(CONCURRENCY, seconds);
    double bareRate = measureClosed("bare HTTP answers", bare, "endpoint").perCpuSecond();
    double lookupRate = measureClosed("look-ups", lookups, "traffic-").perCpuSecond();
    System.out.printf("look-ups against bare HTTP answers: %.2f%n", lookupRate / bareRate);
  }

  private Closed measureClosed(String what, Load load, String serverThread) {
    long cpuBefore = cpuNanos(serverThread);
    Result result = load.runClosed(CONCURRENCY, seconds);
    long cpuNanos = cpuNanos(serverThread) - cpuBefore;
    double cpuSeconds = cpuNanos / (double) TimeUnit.SECONDS.toNanos(1);
    Closed closed = new Closed(result, result.latencies().getTotalCount() / cpuSeconds);
    print(what + ", closed loop of %d", CONCURRENCY, result);
    System.out.printf(
        "%s a second of processor time: %.0f (%.2f cores busy)%n",
        what, closed.perCpuSecond(), cpuSeconds / seconds);
    return closed;
  }

  private static long cpuNanos(String threadName) {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    return Arrays.stream(threads.getAllThreadIds())
        .filter(id -> threads.getThreadInfo(id).getThreadName().startsWith(threadName))
        .map(threads::getThreadCpuTime)
        .sum();
  }

  private record Closed(Result result, double perCpuSecond) {}

  private static void print(String what, int number, Result result) {
    System.out.printf(
        what + ": %.0f/s, p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, failures %d%n",
        number,
        result.perSecond(),
        result.millisAt(50),
        result.millisAt(99),
        result.millisAt(99.9),
        result.failures());
  }
}
