package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Guards against a request that ends one endpoint after the other, as it comes again at one VM
 * after the other.
 */
@Timeout(120)
class CrashingRequestTest {
  private static final int VMS = 5;
  private static final int ENDPOINTS = 8;
  private static final String CRASHING_PATH = "/crash/1";
  private static final int CRASHES_UNTIL_KNOWN = 3;
  private static final int ALLOWED_RETRIES = 3;

  /** From then on after the third crash, retries are counted. */
  private static final long KNOWN_AFTER_NANOS = TimeUnit.SECONDS.toNanos(4);

  private final HttpClient client = HttpClient.newHttpClient();
  private final List<FakeEndpoint> endpoints = new ArrayList<>();
  private final List<Long> crashNanos = new CopyOnWriteArrayList<>();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger nextRequest = new AtomicInteger();
  private final List<Thread> callers = new ArrayList<>();
  private FakeDeployment deployment;
  private volatile boolean stopped;

  @BeforeEach
  void start() throws Exception {
    for (int i = 0; i < ENDPOINTS; i++) {
      FakeEndpoint endpoint = new FakeEndpoint("i-" + i);
      endpoint.setHandler(
          (request, socket) -> {
            if (request.requestLine().contains(CRASHING_PATH)) {
              crashNanos.add(System.nanoTime());
              endpoint.closeConnections();
            } else {
              FakeEndpoint.respondOk(request, socket, "done");
            }
          });
      endpoints.add(endpoint);
    }
    deployment = new FakeDeployment(endpoints);
    for (int i = 0; i < VMS; i++) {
      deployment.startVm();
    }
    Thread.sleep(1_500);
  }

  @AfterEach
  void stop() throws Exception {
    stopped = true;
    for (Thread caller : callers) {
      caller.join();
    }
    deployment.close();
    for (FakeEndpoint endpoint : endpoints) {
      endpoint.close();
    }
    client.close();
  }

  @Test
  void requestThatCrashedThreeEndpointsIsRetriedAtMostThreeTimesByAllVms() throws Exception {
    startCallers(CRASHING_PATH, 100);
    Thread.sleep(10_000);

    assertThat(retriesCounted(), is(lessThanOrEqualTo(ALLOWED_RETRIES)));
  }

  /** The request comes again by other ways, so each time from another address. */
  @Test
  void requestThatComesFromAnotherAddressIsKnownAgain() throws Exception {
    startCallers(CRASHING_PATH, 100);
    for (int i = 0; i < 100; i++) {
      try (HttpClient other =
          HttpClient.newBuilder()
              .localAddress(InetAddress.getByName("127.0.0." + (10 + i)))
              .build()) {
        HostAndPort address = deployment.callerAddresses().get(i % VMS);
        call(other, address, CRASHING_PATH, 100);
      }
    }

    assertThat(retriesCounted(), is(lessThanOrEqualTo(ALLOWED_RETRIES)));
  }

  @Test
  void vmThatStartsDoesNotRetryARequestThatCrashedThreeEndpoints() throws Exception {
    startCallers(CRASHING_PATH, 100);
    Thread.sleep(5_000);
    for (int i = 0; i < 3; i++) {
      deployment.startVm();
      startCaller(deployment.callerAddresses().getLast(), CRASHING_PATH, 100);
    }
    Thread.sleep(5_000);

    assertThat(retriesCounted(), is(lessThanOrEqualTo(ALLOWED_RETRIES)));
  }

  @Test
  void otherRequestsAreServedWhileOneCrashesEndpoints() throws Exception {
    startCallers(CRASHING_PATH, 100);
    Thread.sleep(1_000);
    startCallers("/other/", 50);
    Thread.sleep(1_000);
    int servedBefore = served.get();
    Thread.sleep(3_000);

    assertThat(served.get() - servedBefore, is(greaterThanOrEqualTo(VMS * 30)));
  }

  private int retriesCounted() {
    if (crashNanos.size() < CRASHES_UNTIL_KNOWN) {
      return 0;
    }
    long fromNanos = crashNanos.get(CRASHES_UNTIL_KNOWN - 1) + KNOWN_AFTER_NANOS;
    return (int) crashNanos.stream().filter(nanos -> nanos - fromNanos > 0).count();
  }

  private void startCallers(String path, long intervalMillis) {
    deployment.callerAddresses().forEach(address -> startCaller(address, path, intervalMillis));
  }

  private void startCaller(HostAndPort address, String path, long intervalMillis) {
    callers.add(
        Thread.ofVirtual()
            .start(
                () -> {
                  while (!stopped) {
                    call(client, address, path, intervalMillis);
                  }
                }));
  }

  private void call(HttpClient from, HostAndPort address, String path, long intervalMillis) {
    int number = nextRequest.incrementAndGet();
    String target = path.endsWith("/") ? path + number : path;
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + target))
            .version(HttpClient.Version.HTTP_1_1)
            .header("X-Request-Id", "r-" + number)
            .header("X-Deadline-Ms", "2000")
            .build();
    try {
      if (from.send(request, BodyHandlers.discarding()).statusCode() == 200) {
        served.incrementAndGet();
      }
      Thread.sleep(intervalMillis);
    } catch (IOException e) {
      // The VM doesn't listen yet, or stops.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
