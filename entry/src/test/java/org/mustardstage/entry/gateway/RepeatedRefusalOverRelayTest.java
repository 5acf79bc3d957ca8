package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Guards against a request that runs after its caller was told that it never will, as endpoints
 * write refusals again while one of three VMs loses its links to them and relays, and another one
 * stops. Callers repeat a refused request with its id, at the same VM or at another one.
 */
@Timeout(60)
class RepeatedRefusalOverRelayTest {
  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
  private static final int CUT_VM = 1;
  private static final int VMS = 3;
  private static final int CALLERS_PER_VM = 2;
  private static final int MAX_CALLS_PER_ID = 3;
  private static final int MIN_SERVED = 80;
  private static final int MIN_REFUSALS = 15;

  /** Fewer than are awaited, as VMs pause endpoints that respond 421. */
  private static final int MIN_RELAYED = 15;

  private static final Duration MAX_PHASE = Duration.ofSeconds(8);

  private record Call(int vm, String id, int status, String body, String reason) {
    boolean isPromise() {
      return PROMISES.contains(status);
    }
  }

  private final HttpClient client = HttpClient.newHttpClient();
  private final List<FakeEndpoint> endpoints = new ArrayList<>();
  private final Map<HostAndPort, CuttableLink> linksOfCutVm = new HashMap<>();
  private final List<Call> calls = new CopyOnWriteArrayList<>();
  private final List<Thread> callers = new ArrayList<>();
  private final AtomicInteger relayed = new AtomicInteger();
  private final AtomicInteger nextId = new AtomicInteger();
  private RefusingHandler handler;
  private FakeDeployment deployment;
  private volatile List<HostAndPort> vmAddresses;
  private volatile boolean cut;
  private volatile boolean ended;

  private void start(String refusal) throws Exception {
    handler = new RefusingHandler(refusal);
    List<RegisteredEndpoint> entries = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      FakeEndpoint endpoint = new FakeEndpoint("i-" + i);
      endpoint.setHandler(handler);
      endpoints.add(endpoint);
      RegisteredEndpoint current = endpoint.registration();
      linksOfCutVm.put(current.address(), new CuttableLink(current.address()));
      entries.add(current);
      entries.add(underOtherId(current, "replaced-" + i));
    }
    deployment = new FakeDeployment(entries, /* linked= */ true);
    deployment.setStop(/* lookupLifetimeMillis= */ 100, /* withinMillis= */ 1_000);
    for (int vm = 0; vm < VMS; vm++) {
      if (vm == CUT_VM) {
        deployment.startVm(address -> linksOfCutVm.get(address).address());
      } else {
        deployment.startVm();
      }
    }
    vmAddresses = List.copyOf(deployment.callerAddresses());
    Thread.sleep(1_500);
    for (int i = 0; i < VMS * CALLERS_PER_VM; i++) {
      int vm = i % VMS;
      callers.add(Thread.ofVirtual().start(() -> callUntilEnded(vm)));
    }
  }

  /** Returns another entry of the same address, as one of an earlier incarnation that is left. */
  private static RegisteredEndpoint underOtherId(RegisteredEndpoint endpoint, String id) {
    return new RegisteredEndpoint(
        new EndpointId(id),
        endpoint.service(),
        endpoint.address(),
        endpoint.zone(),
        endpoint.slots(),
        /* draining= */ false,
        0,
        0);
  }

  @AfterEach
  void stop() throws Exception {
    ended = true;
    for (Thread caller : callers) {
      caller.join();
    }
    for (CuttableLink link : linksOfCutVm.values()) {
      link.close();
    }
    deployment.close();
    for (FakeEndpoint endpoint : endpoints) {
      endpoint.close();
    }
    client.close();
  }

  @ParameterizedTest
  @CsvSource({
    "503 Full, false", "503 Full, true",
    "429 Busy, false", "429 Busy, true",
    "408 Late, false", "408 Late, true",
    "421 Misdirected, false", "421 Misdirected, true",
    "400 Bad, false", "400 Bad, true"
  })
  void promisesAreKept(String refusal, boolean vmStops) throws Exception {
    start(refusal);
    await(() -> served() >= MIN_SERVED);
    cut = true;
    for (CuttableLink link : linksOfCutVm.values()) {
      link.cut(CuttableLink.Cut.RESET);
    }
    if (vmStops) {
      deployment.stopFirstVm();
    }
    await(() -> relayed.get() >= MIN_SERVED);
    cut = false;
    for (CuttableLink link : linksOfCutVm.values()) {
      link.restore();
    }
    int servedBefore = served();
    await(() -> served() >= servedBefore + MIN_SERVED);
    ended = true;
    for (Thread caller : callers) {
      caller.join();
    }
    // A request that was cancelled may still be on its way.
    Thread.sleep(200);

    assertPromisesKept();
    assertThat("relayed", relayed.get(), is(greaterThanOrEqualTo(MIN_RELAYED)));
    assertThat("refused", handler.refused(), is(greaterThanOrEqualTo(MIN_REFUSALS)));
    assertThat("copies", handler.copies(), is(greaterThanOrEqualTo(MIN_REFUSALS)));
  }

  private void assertPromisesKept() {
    List<String> broken = new ArrayList<>();
    Map<String, List<Call>> callsById = new HashMap<>();
    calls.forEach(call -> callsById.computeIfAbsent(call.id(), id -> new ArrayList<>()).add(call));
    callsById.forEach(
        (id, ofId) -> {
          // Callers repeat only what was refused, so at most one call of an id may have run.
          long mayHaveRun = ofId.stream().filter(call -> !call.isPromise()).count();
          int runs = handler.runs(id);
          if (runs > mayHaveRun) {
            broken.add(runs + " runs: " + ofId);
          }
          ofId.stream()
              .filter(call -> call.status() == 200)
              .filter(call -> !call.body().equals(RefusingHandler.bodyFor(id)) || runs == 0)
              .forEach(call -> broken.add("wrong response: " + call));
        });
    assertThat(broken, is(empty()));
  }

  private int served() {
    return (int) calls.stream().filter(call -> call.status() == 200).count();
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + MAX_PHASE.toNanos();
    while (!condition.getAsBoolean() && System.nanoTime() - deadlineNanos < 0) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  private void callUntilEnded(int vm) {
    try {
      while (!ended) {
        String id = "r-" + nextId.incrementAndGet();
        Call call = call(vm, id);
        for (int i = 1; i < MAX_CALLS_PER_ID && call.isPromise() && !ended; i++) {
          call = call((vm + i - 1) % VMS, id);
        }
        Thread.sleep(5);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Call call(int vm, String id) throws InterruptedException {
    boolean sentDuringCut = cut;
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create(
                    "http://" + vmAddresses.get(vm) + FakeDeployment.ONCE_PREFIX + vm + "/" + id))
            .version(HttpClient.Version.HTTP_1_1)
            .header("X-Request-Id", id)
            .header("X-Deadline-Ms", "1500")
            .POST(BodyPublishers.ofString("x"))
            .build();
    Call call;
    try {
      HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
      String reason = response.headers().firstValue(GatewayServlet.ERROR_REASON_NAME).orElse("");
      call = new Call(vm, id, response.statusCode(), response.body(), reason);
    } catch (IOException e) {
      call = new Call(vm, id, 0, "", e.toString());
      Thread.sleep(20);
    }
    calls.add(call);
    if (sentDuringCut && cut && vm == CUT_VM && call.status() == 200) {
      relayed.incrementAndGet();
    }
    return call;
  }
}
