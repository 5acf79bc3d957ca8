package org.mustardstage.standins.bench.traffic;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.standins.bench.traffic.LoadGenerator.Result;

/**
 * Measures the request path over loopback in one process: the latency that it adds to a direct call
 * at half of the highest load, and the lookups per second of processor time.
 */
public final class TrafficBench {
  private static final int CONCURRENCY = 32;
  private static final int DEFAULT_SECONDS = 5;
  private static final double OPEN_LOOP_LOAD_FRACTION = 0.5;
  private static final String LOOKUP_PATH = "/v1/lookup?service=desk&address=10.1.2.3";

  private final int secondsPerPart;

  private TrafficBench(int secondsPerPart) {
    this.secondsPerPart = secondsPerPart;
  }

  /** Runs the benchmark; the first argument, if any, is the number of seconds of each part. */
  public static void main(String[] args) throws IOException {
    int seconds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SECONDS;
    new TrafficBench(seconds).run();
    System.exit(0);
  }

  private void run() throws IOException {
    HostAndPort endpointAddress = LoopbackAddresses.withFreePort();
    try (BenchEndpoint endpoint = new BenchEndpoint(endpointAddress)) {
      try (BenchEntryVm entry =
              new BenchEntryVm(LoopbackAddresses.withFreePort(), endpoint.endpoint());
          LoadGenerator direct =
              new LoadGenerator("direct", "http://" + endpointAddress + "/read");
          LoadGenerator carried =
              new LoadGenerator("carried", "http://" + entry.address() + "/read");
          LoadGenerator lookups =
              new LoadGenerator("lookups", "http://" + entry.address() + LOOKUP_PATH)) {
        measureAddedLatency(direct, carried);
        measureLookups(direct, lookups);
      }
    }
  }

  private void measureAddedLatency(LoadGenerator direct, LoadGenerator carried) {
    direct.runClosed(CONCURRENCY, secondsPerPart);
    carried.runClosed(CONCURRENCY, secondsPerPart);
    ClosedLoopResult saturated = measureClosed("requests carried", carried, "traffic-");
    double rate = saturated.result().responsesPerSecond() * OPEN_LOOP_LOAD_FRACTION;
    direct.runOpen(rate, secondsPerPart);
    carried.runOpen(rate, secondsPerPart);
    Result directResult = direct.runOpen(rate, secondsPerPart);
    Result carriedResult = carried.runOpen(rate, secondsPerPart);
    printResult("direct, %d/s open loop", (int) rate, directResult);
    printResult("carried, %d/s open loop", (int) rate, carriedResult);
    for (double percentile : new double[] {50, 99, 99.9}) {
      double directMillis = directResult.millisAt(percentile);
      double carriedMillis = carriedResult.millisAt(percentile);
      System.out.printf(
          "added at p%s: %.3f ms (%.2f times direct)%n",
          percentile, carriedMillis - directMillis, carriedMillis / directMillis);
    }
  }

  private void measureLookups(LoadGenerator direct, LoadGenerator lookups) {
    lookups.runClosed(CONCURRENCY, secondsPerPart);
    double directRate =
        measureClosed("bare HTTP answers", direct, "endpoint").responsesPerCpuSecond();
    double lookupRate = measureClosed("look-ups", lookups, "traffic-").responsesPerCpuSecond();
    System.out.printf("look-ups against bare HTTP answers: %.2f%n", lookupRate / directRate);
  }

  private ClosedLoopResult measureClosed(
      String what, LoadGenerator load, String serverThreadPrefix) {
    long cpuBefore = threadCpuNanos(serverThreadPrefix);
    Result result = load.runClosed(CONCURRENCY, secondsPerPart);
    long cpuNanos = threadCpuNanos(serverThreadPrefix) - cpuBefore;
    double cpuSeconds = cpuNanos / (double) TimeUnit.SECONDS.toNanos(1);
    ClosedLoopResult closed =
        new ClosedLoopResult(result, result.latencies().getTotalCount() / cpuSeconds);
    printResult(what + ", closed loop of %d", CONCURRENCY, result);
    System.out.printf(
        "%s a second of processor time: %.0f (%.2f cores busy)%n",
        what, closed.responsesPerCpuSecond(), cpuSeconds / secondsPerPart);
    return closed;
  }

  private static long threadCpuNanos(String threadNamePrefix) {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    return Arrays.stream(threads.getAllThreadIds())
        .filter(id -> threads.getThreadInfo(id).getThreadName().startsWith(threadNamePrefix))
        .map(threads::getThreadCpuTime)
        .sum();
  }

  private record ClosedLoopResult(Result result, double responsesPerCpuSecond) {}

  private static void printResult(String what, int number, Result result) {
    System.out.printf(
        what + ": %.0f/s, p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, failures %d%n",
        number,
        result.responsesPerSecond(),
        result.millisAt(50),
        result.millisAt(99),
        result.millisAt(99.9),
        result.failures());
  }
}
