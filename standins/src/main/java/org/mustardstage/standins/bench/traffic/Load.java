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

/** Sends GET requests to one URL and records how long each whole answer took. */
final class Load implements AutoCloseable {
  private static final long HIGHEST_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final int DIGITS = 3;
  private static final int MAX_RUNNING = 256;
  private static final long PACE_NANOS = 20_000;

  private final LoopThread loop;
  private final HttpClient client;
  private final String url;
  private Histogram latencies;
  private long failures;
  private long endNanos;

  Load(String name, String url) {
    this.loop = new LoopThread(name);
    this.url = url;
    DnsClient dns = DnsClient.create(loop.reactor(), InetAddress.getLoopbackAddress());
    this.client =
        HttpClient.builder(loop.reactor(), dns).withKeepAliveTimeout(Duration.ofMinutes(5)).build();
  }

  /** Keeps {@code concurrency} requests running for {@code seconds}. */
  Result runClosed(int concurrency, int seconds) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.run(
            () -> {
              begin(seconds);
              int[] running = {concurrency};
              for (int i = 0; i < concurrency; i++) {
                repeat(
                    () -> {
                      if (--running[0] == 0) {
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
   * Sends {@code requestsPerSecond}, evenly spaced. A request that had to wait for one of the
   * connections counts from when it was due.
   */
  Result runOpen(double requestsPerSecond, int seconds) {
    Pacer pacer = new Pacer((long) (TimeUnit.SECONDS.toNanos(1) / requestsPerSecond));
    loop.run(
            () -> {
              begin(seconds);
              pacer.dueNanos = System.nanoTime();
            })
        .join();
    while (!pacer.done) {
      loop.run(pacer::sendDue).join();
      LockSupport.parkNanos(PACE_NANOS);
    }
    return result(seconds);
  }

  private void begin(int seconds) {
    latencies = new Histogram(HIGHEST_NANOS, DIGITS);
    failures = 0;
    endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
  }

  private void repeat(Runnable onEnd) {
    long startNanos = System.nanoTime();
    if (startNanos - endNanos > 0) {
      onEnd.run();
      return;
    }
    send(startNanos).whenComplete(() -> loop.reactor().post(() -> repeat(onEnd)));
  }

  private Promise<Void> send(long intendedNanos) {
    HttpRequest request =
        HttpRequest.get(url).withHeader(HttpHeaders.of("Mustardstage-Service"), "desk").build();
    return client
        .request(request)
        .then(response -> response.loadBody().map(body -> response.getCode()))
        .then(
            (status, e) -> {
              failures += e == null && status == 200 ? 0 : 1;
              latencies.recordValue(System.nanoTime() - intendedNanos);
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

  /** Sends the requests that are due. It is used on the event loop, but for {@code done}. */
  private final class Pacer {
    private final long spacingNanos;
    private long dueNanos;
    private int running;
    private volatile boolean done;

    Pacer(long spacingNanos) {
      this.spacingNanos = spacingNanos;
    }

    void sendDue() {
      long nowNanos = System.nanoTime();
      while (dueNanos - nowNanos <= 0 && dueNanos - endNanos < 0 && running < MAX_RUNNING) {
        running++;
        send(dueNanos).whenComplete(() -> running--);
        dueNanos += spacingNanos;
      }
      done = dueNanos - endNanos >= 0 && running == 0;
    }
  }

  /**
   * What was measured.
   *
   * @param latencies in nanoseconds, from when each request was meant to be sent
   * @param failures the number of requests without a good answer
   * @param perSecond the answers a second
   */
  record Result(Histogram latencies, long failures, double perSecond) {
    double millisAt(double percentile) {
      return latencies.getValueAtPercentile(percentile) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }
  }
}
