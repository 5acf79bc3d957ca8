package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Six VMs, each with links of its own to eight endpoints, and callers that keep calling each VM.
 * Records what callers and endpoints see.
 */
final class CutTestBed implements AutoCloseable {
  static final int VMS = 6;
  static final long DEADLINE_MILLIS = 2_000;

  static final int ENDPOINTS = 8;
  private static final int CALLERS_PER_VM = 2;
  private static final int OBJECTS = 40;
  private static final long WORK_MILLIS = 40;
  private static final long CALL_INTERVAL_MILLIS = 60;
  private static final long DEADLINE_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final int MAX_ATTEMPTS = 3;
  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int ALWAYS_ALLOWED_FAILURES = 10;
  private static final int TRIES_PER_ALLOWED_FAILURE = 50;
  private static final double MIN_CUT_SHARE = 0.9;
  private static final double MIN_SERVED_SHARE = 0.97;

  private final HttpClient client = HttpClient.newHttpClient();
  private final IntFunction<String> pathOfRequest;
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

  /**
   * A request of a caller.
   *
   * @param status the status of the response; 0 if there was none
   * @param reason why the VM rejected it; empty if an endpoint responded
   */
  record Call(
      int vm, String id, boolean once, long sentNanos, long tookNanos, int status, String reason) {
    boolean isServed() {
      return status == STATUS_OK;
    }
  }

  /**
   * Creates a bed that is not started.
   *
   * @param pathOfRequest the path of each request, by its number; requests whose path starts with
   *     {@link FakeDeployment#ONCE_PREFIX} are not idempotent
   */
  CutTestBed(IntFunction<String> pathOfRequest) {
    this.pathOfRequest = pathOfRequest;
  }

  void start() throws IOException, InterruptedException {
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

  /** Cuts the links of the first {@code vms} VMs to all endpoints. */
  void cut(CuttableLink.Cut how, int vms) throws IOException {
    cut(vms, Collections.nCopies(ENDPOINTS, how));
  }

  /** Cuts the links of the first {@code vms} VMs to as many endpoints as {@code cuts} has. */
  void cut(int vms, List<CuttableLink.Cut> cuts) throws IOException {
    for (List<CuttableLink> links : linksByVm.subList(0, vms)) {
      for (int i = 0; i < cuts.size(); i++) {
        links.get(i).cut(cuts.get(i));
      }
    }
  }

  /** Resets the connections of the first {@code vms} VMs to one endpoint after the other. */
  void resetOneByOne(int vms, long intervalMillis) throws IOException, InterruptedException {
    for (int i = 0; i < ENDPOINTS; i++) {
      for (List<CuttableLink> links : linksByVm.subList(0, vms)) {
        links.get(i).cut(CuttableLink.Cut.RESET);
      }
      Thread.sleep(intervalMillis);
    }
  }

  /** Ends the cut of the first {@code vms} VMs. */
  void restore(int vms) throws IOException {
    restoredNanos = System.nanoTime();
    restored = true;
    for (List<CuttableLink> links : linksByVm.subList(0, vms)) {
      for (CuttableLink link : links) {
        link.restore();
      }
    }
  }

  /** Returns the calls that were sent from {@code fromNanos} on and before {@code toNanos}. */
  List<Call> callsBetween(long fromNanos, long toNanos) {
    return calls.stream()
        .filter(call -> call.sentNanos() - fromNanos >= 0 && call.sentNanos() - toNanos < 0)
        .toList();
  }

  List<Call> calls() {
    return calls;
  }

  /** Asserts that at most ten requests and one in fifty were not served. */
  static void assertServed(String where, List<Call> measured) {
    List<Call> failed = measured.stream().filter(call -> !call.isServed()).toList();
    assertThat(where, measured.size(), is(greaterThan(TRIES_PER_ALLOWED_FAILURE)));
    assertThat(
        where + ": failed of " + measured.size(),
        failed.size(),
        is(lessThanOrEqualTo(allowedFailures(measured))));
  }

  /**
   * Asserts that the callers of cut VMs were served at least nine tenths as often as the others,
   * and these at least 97 times of 100.
   */
  static void assertServedNearlyAsOften(
      String cuts, List<Call> duringCut, int cutVms, List<Call> after) {
    double cut = servedShare(duringCut.stream().filter(call -> call.vm() < cutVms).toList());
    double others =
        cutVms == VMS
            ? 0
            : servedShare(duringCut.stream().filter(call -> call.vm() >= cutVms).toList());
    double afterwards = servedShare(after);
    String shares =
        String.format(
            Locale.ROOT,
            "%s at %d VMs: served there %.3f, elsewhere %.3f, after the cut %.3f",
            cuts,
            cutVms,
            cut,
            others,
            afterwards);
    assertThat(shares, cut, is(greaterThanOrEqualTo(MIN_CUT_SHARE * others)));
    if (cutVms < VMS) {
      assertThat(shares, others, is(greaterThanOrEqualTo(MIN_SERVED_SHARE)));
    }
    assertThat(shares, afterwards, is(greaterThanOrEqualTo(MIN_SERVED_SHARE)));
  }

  private static double servedShare(List<Call> measured) {
    assertThat(measured.size(), is(greaterThan(TRIES_PER_ALLOWED_FAILURE)));
    return (double) measured.stream().filter(Call::isServed).count() / measured.size();
  }

  static int allowedFailures(List<Call> measured) {
    return ALWAYS_ALLOWED_FAILURES + measured.size() / TRIES_PER_ALLOWED_FAILURE;
  }

  /** Asserts what holds for each request, whatever the links do. */
  void assertPromisesKept() {
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

  private void startCallers() {
    for (int vm = 0; vm < VMS; vm++) {
      for (int i = 0; i < CALLERS_PER_VM; i++) {
        int calledVm = vm;
        callers.add(Thread.ofVirtual().start(() -> callUntilStopped(calledVm)));
      }
    }
  }

  void stopCallers() throws InterruptedException {
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
    String path = pathOfRequest.apply(number);
    HostAndPort address = deployment.callerAddresses().get(vm);
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
    String reason = "";
    try {
      HttpResponse<Void> response = client.send(request, BodyHandlers.discarding());
      status = response.statusCode();
      reason = response.headers().firstValue(GatewayServlet.ERROR_REASON_NAME).orElse("");
    } catch (IOException e) {
      // Counts as a call without a response.
    }
    boolean once = path.startsWith(FakeDeployment.ONCE_PREFIX);
    calls.add(new Call(vm, id, once, sentNanos, System.nanoTime() - sentNanos, status, reason));
  }

  @Override
  public void close() throws IOException {
    try {
      stopCallers();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
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
}
