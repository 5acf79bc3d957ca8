package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.core.manifest.HostAndPort;

/** Guards against VMs that together send an endpoint more than the rate that it named. */
@Timeout(120)
class EndpointLimitTest {
  private static final int VMS = 5;
  private static final long DISCOVERY_MILLIS = 7_000;
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** From then on after an endpoint first named its limit, the limit binds. */
  private static final long KNOWN_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final HttpClient client = HttpClient.newHttpClient();
  private final List<Long> limitedArrivalNanos = new CopyOnWriteArrayList<>();
  private FakeEndpoint limited;
  private FakeEndpoint unlimited;
  private FakeDeployment deployment;
  private volatile String limitHeader = "";
  private volatile boolean stopped;
  private final List<Thread> callers = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    limited = new FakeEndpoint("i-1");
    unlimited = new FakeEndpoint("i-2");
    limited.setHandler(
        (request, socket) -> {
          limitedArrivalNanos.add(System.nanoTime());
          FakeEndpoint.respond(
              request, socket, "200 OK", "X-Server-Seal: s\r\n" + limitHeader, "limited");
        });
    deployment = new FakeDeployment(List.of(limited, unlimited));
    for (int i = 0; i < VMS; i++) {
      deployment.startVm();
    }
    Thread.sleep(DISCOVERY_MILLIS);
  }

  @AfterEach
  void stop() throws Exception {
    stopped = true;
    for (Thread caller : callers) {
      caller.join();
    }
    deployment.close();
    limited.close();
    unlimited.close();
    client.close();
  }

  @Test
  void vmsTogetherStayWithinTheLimitOfAnEndpoint() throws Exception {
    startCallers();
    Thread.sleep(1_000);
    long namedNanos = nameLimit("1");
    Thread.sleep(9_000);

    assertThat(largestWindow(namedNanos), is(lessThanOrEqualTo(allowedInWindow(1))));

    limitHeader = "";
    Thread.sleep(4_000);
    long endNanos = System.nanoTime();
    Thread.sleep(2_000);
    assertThat(arrivalsSince(endNanos), is(greaterThan((int) allowedInWindow(1))));
  }

  @Test
  void vmThatStartsDoesNotAddToTheLimitOfAnEndpoint() throws Exception {
    startCallers();
    Thread.sleep(1_000);
    long namedNanos = nameLimit("2.5");
    for (int i = 0; i < 4; i++) {
      deployment.startVm();
      startCaller(deployment.callerAddresses().getLast());
    }
    Thread.sleep(9_000);

    assertThat(largestWindow(namedNanos), is(lessThanOrEqualTo(allowedInWindow(2.5))));
  }

  private long nameLimit(String requestsPerSecond) throws InterruptedException {
    limitHeader = FakeDeployment.LIMIT_HEADER + ": " + requestsPerSecond + "\r\n";
    int before = limitedArrivalNanos.size();
    while (limitedArrivalNanos.size() == before) {
      Thread.sleep(5);
    }
    return limitedArrivalNanos.get(before);
  }

  private static long allowedInWindow(double requestsPerSecond) {
    return (long) (1.5 * requestsPerSecond * TimeUnit.NANOSECONDS.toSeconds(WINDOW_NANOS)) + 5;
  }

  private int arrivalsSince(long sinceNanos) {
    return (int) limitedArrivalNanos.stream().filter(nanos -> nanos - sinceNanos >= 0).count();
  }

  private long largestWindow(long namedNanos) {
    List<Long> counted =
        limitedArrivalNanos.stream()
            .filter(nanos -> nanos - namedNanos > KNOWN_AFTER_NANOS)
            .toList();
    long largest = 0;
    for (long start : counted) {
      largest =
          Math.max(
              largest,
              counted.stream()
                  .filter(nanos -> nanos - start >= 0 && nanos - start <= WINDOW_NANOS)
                  .count());
    }
    return largest;
  }

  private void startCallers() {
    deployment.callerAddresses().forEach(this::startCaller);
  }

  private void startCaller(HostAndPort address) {
    callers.add(
        Thread.ofVirtual()
            .start(
                () -> {
                  while (!stopped) {
                    call(address);
                  }
                }));
  }

  private void call(HostAndPort address) {
    int object = ThreadLocalRandom.current().nextInt(20);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/" + object))
            .version(HttpClient.Version.HTTP_1_1)
            .header("X-Request-Id", "r-" + object)
            .header("X-Deadline-Ms", "2000")
            .header("Cookie", "X-Affinity-Key=" + object)
            .build();
    try {
      client.send(request, BodyHandlers.discarding());
      Thread.sleep(20);
    } catch (IOException e) {
      // The VM doesn't listen yet, or stops.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
