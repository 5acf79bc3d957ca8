package org.mustardstage.standins.bench.traffic;

import io.activej.dns.DnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import java.net.InetAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/** Sends GET requests to one URL and records the latency up to the end of each response body. */
final class LoadGenerator implements AutoCloseable {
  private static final long MAX_LATENCY_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int MAX_REQUESTS_IN_FLIGHT = 256;
  private static final long POLL_INTERVAL_NANOS = 20_000;

  private final EventLoopThread loop;
  private final HttpClient client;
  private final String url;
  private Histogram latencies;
  private long failures;
  private long endNanos;

  LoadGenerator(String name, String url) {
    this.loop = new EventLoopThread(name);
    this.url = url;
    DnsClient dns = DnsClient.create(loop.eventloop(), InetAddress.getLoopbackAddress());
    this.client =
        HttpClient.builder(loop.eventloop(), dns)
            .withKeepAliveTimeout(Duration.ofMinutes(5))
            .build();
  }

  /** Keeps {@code concurrency} requests in flight for {@code seconds} (closed loop). */
  Result runClosed(int concurrency, int seconds) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.run(
            () -> {
              startRun(seconds);
              int[] activeLoops = {concurrency};
              for (int i = 0; i < concurrency; i++) {
                sendRepeatedly(
                    () -> {
                      if (--activeLoops[0] == 0) {
                        done.complete(null);
                      }
                    });
              }
            })
        .join();
    done.join();
    return result(seconds);
  }

  /**
   * Sends {@code requestsPerSecond}, evenly spaced (open loop). The latency of a request that had
   * to wait until fewer requests were in flight counts from when it was due, so that a slow server
   * does not hide its own delays.
   */
  Result runOpen(double requestsPerSecond, int seconds) {
    Pacer pacer = new Pacer((long) (TimeUnit.SECONDS.toNanos(1) / requestsPerSecond));
    loop.run(
            () -> {
              startRun(seconds);
              pacer.dueNanos = System.nanoTime();
            })
        .join();
    while (!pacer.done) {
      loop.run(pacer::sendDue).join();
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
    return result(seconds);
  }

  private void startRun(int seconds) {
    latencies = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    failures = 0;
    endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
  }

  private void sendRepeatedly(Runnable onEnd) {
    long startNanos = System.nanoTime();
    if (startNanos - endNanos > 0) {
      onEnd.run();
      return;
    }
    send(startNanos).whenComplete(() -> loop.eventloop().post(() -> sendRepeatedly(onEnd)));
  }

  private Promise<Void> send(long dueNanos) {
    HttpRequest request =
        HttpRequest.get(url).withHeader(HttpHeaders.of("Mustardstage-Service"), "desk").build();
    return client
        .request(request)
        .then(response -> response.loadBody().map(body -> response.getCode()))
        .then(
            (status, e) -> {
              failures += e == null && status == 200 ? 0 : 1;
              latencies.recordValue(System.nanoTime() - dueNanos);
              return Promise.complete();
            });
  }

  private Result result(int seconds) {
    return new Result(latencies, failures, latencies.getTotalCount() / (double) seconds);
  }

  @Override
  public void close() {
    loop.close();
  }

  /** Sends the requests that are due. Only {@code done} may be read outside of the event loop. */
  private final class Pacer {
    private final long intervalNanos;
    private long dueNanos;
    private int requestsInFlight;
    private volatile boolean done;

    Pacer(long intervalNanos) {
      this.intervalNanos = intervalNanos;
    }

    void sendDue() {
      long nowNanos = System.nanoTime();
      while (dueNanos - nowNanos <= 0
          && dueNanos - endNanos < 0
          && requestsInFlight < MAX_REQUESTS_IN_FLIGHT) {
        requestsInFlight++;
        send(dueNanos).whenComplete(() -> requestsInFlight--);
        dueNanos += intervalNanos;
      }
      done = dueNanos - endNanos >= 0 && requestsInFlight == 0;
    }
  }

  /**
   * The measurements of one run.
   *
   * @param latencies the latencies in nanoseconds, from when each request was due
   * @param failures the number of requests without a response of status 200
   * @param responsesPerSecond the completed requests per second, including failures
   */
  record Result(Histogram latencies, long failures, double responsesPerSecond) {
    double millisAt(double percentile) {
      return latencies.getValueAtPercentile(percentile) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }
  }
}
