package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Guards against VMs that fail the requests of their callers because they have lost their own links
 * to the endpoints, which the other VMs still reach.
 */
@Timeout(120)
class CutOffVmTest {
  private static final int VMS = 6;
  private static final int ENDPOINTS = 8;
  private static final int CALLERS_PER_VM = 2;
  private static final int OBJECTS = 40;
  private static final long WORK_MILLIS = 40;
  private static final long CALL_INTERVAL_MILLIS = 60;
  private static final long DEADLINE_MILLIS = 2_000;
  private static final long DEADLINE_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final int MAX_ATTEMPTS = 3;
  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;

  /** From then on after the cut began, VMs that are cut off must serve their callers. */
  private static final long CUT_KNOWN_AFTER_MILLIS = 4_000;

  private static final long MEASURED_MILLIS = 4_000;
  private static final int ALWAYS_ALLOWED_FAILURES = 10;
  private static final int TRIES_PER_ALLOWED_FAILURE = 50;

  private final HttpClient client = HttpClient.newHttpClient();
  private final List<FakeEndpoint> endpoints = new ArrayList<>();
  private final List<List<CuttableLink>> linksByVm = new ArrayList<>();
  private final List<Thread> callers = new ArrayList<>();
  private final List<Call> calls = new CopyOnWriteArrayList<>();
  private final Map<String, Long> deadlineNanosByRequest = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> runsByRequest = new ConcurrentHashMap<>();
  private final List<String> lateDeadlines = new CopyOnWriteArrayList<>();
  private final AtomicInteger nextRequest = new AtomicInteger();
  private FakeDeployment deployment;
  private volatile boolean stopped;
  private volatile boolean restored;
  private volatile long restoredNanos;

  /** A request of a caller, with its status; 0 if there was no response. */
  private record Call(int vm, String id, boolean once, long sentNanos, long tookNanos, int status) {
    boolean isServed() {
      return status == STATUS_OK;
    }
  }

  @BeforeEach
  void start() throws Exception {
    for (int i = 0; i < ENDPOINTS; i++) {
      FakeEndpoint endpoint = new FakeEndpoint("i-" + i);
      endpoint.setHandler(
          (request, socket) -> {
            recordRun(request);
            Thread.sleep(WORK_MILLIS);
            FakeEndpoint.respondOk(request, socket, "done");
          });
      endpoints.add(endpoint);
    }
    deployment = new FakeDeployment(endpoints);
    for (int i = 0; i < VMS; i++) {
      Map<HostAndPort, CuttableLink> links = new HashMap<>();
      for (FakeEndpoint endpoint : endpoints) {
        HostAndPort address = endpoint.registration().address();
        links.put(address, new CuttableLink(address));
      }
      linksByVm.add(List.copyOf(links.values()));
      deployment.startVm(address -> links.get(address).address());
    }
    Thread.sleep(1_500);
    startCallers();
    Thread.sleep(2_000);
  }

  private void recordRun(FakeEndpoint.ReceivedRequest request) {
    String id = request.header("X-Request-Id");
    runsByRequest.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
    if (wasHeldByCut(id)) {
      return;
    }
    long remainingNanos =
        TimeUnit.MILLISECONDS.toNanos(Long.parseLong(request.header("X-Deadline-Ms")));
    long lateNanos = System.nanoTime() + remainingNanos - deadlineNanosByRequest.get(id);
    if (lateNanos > DEADLINE_TOLERANCE_NANOS) {
      lateDeadlines.add(id);
    }
  }

  /** Returns whether a link may have held back the request until its cut ended. */
  private boolean wasHeldByCut(String id) {
    long sentNanos =
        deadlineNanosByRequest.get(id) - TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS);
    return restored && sentNanos - restoredNanos < 0;
  }

  @AfterEach
  void stop() throws Exception {
    stopCallers();
    for (List<CuttableLink> links : linksByVm) {
      for (CuttableLink link : links) {
        link.close();
      }
    }
    deployment.close();
    for (FakeEndpoint endpoint : endpoints) {
      endpoint.close();
    }
    client.close();
  }

  @ParameterizedTest
  @CsvSource({"HANG, 1", "HANG, 3", "HANG, 5", "RESET, 3", "RESET, 5", "REFUSE_NEW, 3"})
  void vmsThatAreCutOffFromAllEndpointsServeTheirCallers(CuttableLink.Cut how, int cutVms)
      throws Exception {
    cut(how, cutVms);
    Thread.sleep(CUT_KNOWN_AFTER_MILLIS);
    long measuredFromNanos = System.nanoTime();
    Thread.sleep(MEASURED_MILLIS);
    restore(cutVms);
    Thread.sleep(MEASURED_MILLIS);
    stopCallers();

    List<Call> duringCut =
        calls.stream()
            .filter(call -> call.sentNanos() - measuredFromNanos >= 0)
            .filter(call -> call.sentNanos() - restoredNanos < 0)
            .toList();
    List<Call> afterCut =
        calls.stream().filter(call -> call.sentNanos() - restoredNanos >= 0).toList();
    assertServed("cut VMs", duringCut.stream().filter(call -> call.vm() < cutVms).toList());
    assertServed("other VMs", duringCut.stream().filter(call -> call.vm() >= cutVms).toList());
    assertServed("after the cut", afterCut);
    assertPromisesKept();
  }

  /** Nobody can serve these requests, so callers must not wait for their deadlines. */
  @Test
  void requestsAreRejectedAtOnceWhenAllVmsAreCutOff() throws Exception {
    cut(CuttableLink.Cut.HANG, VMS);
    Thread.sleep(CUT_KNOWN_AFTER_MILLIS);
    long measuredFromNanos = System.nanoTime();
    Thread.sleep(MEASURED_MILLIS);
    restore(VMS);
    stopCallers();

    List<Call> measured =
        calls.stream().filter(call -> call.sentNanos() - measuredFromNanos >= 0).toList();
    List<Call> held =
        measured.stream()
            .filter(call -> !call.isServed())
            .filter(call -> call.tookNanos() > TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS / 2))
            .toList();
    assertThat(measured.size(), is(greaterThan(VMS)));
    assertThat("held: " + held, held.size(), is(lessThanOrEqualTo(allowedFailures(measured))));
    assertPromisesKept();
  }

  private static void assertServed(String where, List<Call> measured) {
    List<Call> failed = measured.stream().filter(call -> !call.isServed()).toList();
    assertThat(where, measured.size(), is(greaterThan(TRIES_PER_ALLOWED_FAILURE)));
    assertThat(
        where + ": failed of " + measured.size(),
        failed.size(),
        is(lessThanOrEqualTo(allowedFailures(measured))));
  }

  private static int allowedFailures(List<Call> measured) {
    return ALWAYS_ALLOWED_FAILURES + measured.size() / TRIES_PER_ALLOWED_FAILURE;
  }

  private void assertPromisesKept() {
    List<String> repeated =
        calls.stream()
            .filter(call -> runs(call) > (call.once() ? 1 : MAX_ATTEMPTS))
            .map(Call::id)
            .toList();
    List<String> promisedNotRun =
        calls.stream()
            .filter(call -> call.once() && call.status() == STATUS_UNAVAILABLE && runs(call) > 0)
            .map(Call::id)
            .toList();
    assertThat("run too often", repeated, is(empty()));
    assertThat("run, though callers were told that they were not", promisedNotRun, is(empty()));
    assertThat("given more time than was left", lateDeadlines, is(empty()));
  }

  private int runs(Call call) {
    AtomicInteger runs = runsByRequest.get(call.id());
    return runs == null ? 0 : runs.get();
  }

  private void cut(CuttableLink.Cut how, int vms) throws IOException {
    for (List<CuttableLink> links : linksByVm.subList(0, vms)) {
      for (CuttableLink link : links) {
        link.cut(how);
      }
    }
  }

  private void restore(int vms) throws IOException {
    restoredNanos = System.nanoTime();
    restored = true;
    for (List<CuttableLink> links : linksByVm.subList(0, vms)) {
      for (CuttableLink link : links) {
        link.restore();
      }
    }
  }

  private void startCallers() {
    for (int vm = 0; vm < VMS; vm++) {
      for (int i = 0; i < CALLERS_PER_VM; i++) {
        int calledVm = vm;
        callers.add(Thread.ofVirtual().start(() -> callUntilStopped(calledVm)));
      }
    }
  }

  private void stopCallers() throws InterruptedException {
    stopped = true;
    for (Thread caller : callers) {
      caller.join();
    }
  }

  private void callUntilStopped(int vm) {
    try {
      while (!stopped) {
        call(vm);
        Thread.sleep(CALL_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void call(int vm) throws InterruptedException {
    int number = nextRequest.incrementAndGet();
    String id = "r-" + number;
    boolean once = number % 4 == 0;
    HostAndPort address = deployment.callerAddresses().get(vm);
    String path = once ? FakeDeployment.ONCE_PREFIX + number : "/" + number;
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .version(HttpClient.Version.HTTP_1_1)
            .header("X-Request-Id", id)
            .header("X-Deadline-Ms", Long.toString(DEADLINE_MILLIS))
            .header("Cookie", "X-Affinity-Key=" + number % OBJECTS)
            .build();
    long sentNanos = System.nanoTime();
    deadlineNanosByRequest.put(id, sentNanos + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS));
    int status = 0;
    try {
      status = client.send(request, BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      // Counts as a call without a response.
    }
    calls.add(new Call(vm, id, once, sentNanos, System.nanoTime() - sentNanos, status));
  }
}
