package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.manifest.HostAndPort;
import org.slf4j.LoggerFactory;

/**
 * Calls VMs whose endpoints refuse requests and write earlier responses again at any time, while
 * links are cut, endpoints restart and VMs are replaced. Guards against promises that are not kept.
 */
class RepeatedResponsesSoakTest {
  private static final int VMS = 3;
  private static final int ENDPOINTS = 4;
  private static final int REPLACED_ENDPOINTS = 3;
  private static final int CALLERS = 12;
  private static final int MAX_SENDS = 3;
  private static final int MAX_LOG_LINES = 8;
  private static final long SETTLE_MILLIS = 600;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, STATUS_UNAVAILABLE);

  /**
   * One time that a caller sent a request.
   *
   * @param status the status of the response; 0 if there was none
   */
  private record Send(
      String id, boolean once, long sentNanos, long endedNanos, int status, String body) {}

  @Test
  @Timeout(60)
  void keepsPromises() throws Exception {
    assertThat(new Run(/* seed= */ 1, Duration.ofSeconds(20)).violations(), is(empty()));
  }

  /** Runs further seeds, from {@code soak.seed} on, each for {@code soak.seconds}. */
  @Test
  @EnabledIfSystemProperty(named = "soak.seed", matches = "\\d+")
  void keepsPromisesWithFurtherSeeds() throws Exception {
    long endNanos =
        System.nanoTime() + Duration.ofMinutes(Long.getLong("soak.minutes", 1)).toNanos();
    long maxRuns = Long.getLong("soak.runs", Long.MAX_VALUE);
    Duration duration = Duration.ofSeconds(Long.getLong("soak.seconds", 3));
    long seed = Long.getLong("soak.seed");
    List<Long> failed = new ArrayList<>();
    long runs = 0;
    while (runs < maxRuns && System.nanoTime() < endNanos) {
      if (!new Run(seed + runs, duration).violations().isEmpty()) {
        failed.add(seed + runs);
      }
      runs++;
    }
    System.out.println("soak: " + runs + " seeds from " + seed + ", failed: " + failed);
    assertThat("seeds that failed", failed, is(empty()));
  }

  /** The run of one seed. */
  private static final class Run {
    private final long seed;
    private final Duration duration;
    private final SplittableRandom random;
    private final long startNanos = System.nanoTime();
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<FakeEndpoint> endpoints = new ArrayList<>();
    private final Map<HostAndPort, CuttableLink> links = new ConcurrentHashMap<>();
    private final Map<String, List<Send>> sends = new ConcurrentHashMap<>();
    private final AtomicInteger nextRequest = new AtomicInteger();
    private final RepeatingEndpoints handlers;
    private final ListAppender<ILoggingEvent> log = new ListAppender<>();
    private FakeDeployment deployment;
    private int startedVms;
    private final AtomicInteger stoppedVms = new AtomicInteger();
    private volatile boolean stopped;

    Run(long seed, Duration duration) {
      this.seed = seed;
      this.duration = duration;
      this.random = new SplittableRandom(seed);
      this.handlers = new RepeatingEndpoints(seed);
    }

    /** Runs the seed, and returns what broke a rule. */
    List<String> violations() throws Exception {
      Logger logger = (Logger) LoggerFactory.getLogger("mustardstage");
      log.start();
      logger.addAppender(log);
      logger.setAdditive(false);
      try {
        runDeployment();
      } finally {
        logger.setAdditive(true);
        logger.detachAppender(log);
        log.stop();
      }
      List<String> violations = new ArrayList<>();
      sends.values().forEach(each -> judge(each, violations));
      List<Integer> statuses =
          sends.values().stream().flatMap(List::stream).map(Send::status).toList();
      long served = statuses.stream().filter(status -> status == 200).count();
      long promised = statuses.stream().filter(PROMISES::contains).count();
      System.out.printf(
          "soak: seed %d: %d sends, %d served, %d promised not to run, %d copies, %d of them for"
              + " the request in flight, %d violations%n",
          seed,
          statuses.size(),
          served,
          promised,
          handlers.copies(),
          handlers.copiesForSameId(),
          violations.size());
      violations.forEach(System.out::println);
      assertThat("served", served, is(greaterThan(0L)));
      assertThat("promises", promised, is(greaterThan(0L)));
      assertThat("copies", handlers.copies(), is(greaterThan(0)));
      return violations;
    }

    private void runDeployment() throws Exception {
      List<RegisteredEndpoint> entries = new ArrayList<>();
      for (int i = 0; i < ENDPOINTS; i++) {
        String endpointId = "i-" + i;
        FakeEndpoint endpoint = new FakeEndpoint(endpointId);
        endpoint.setHandler((request, socket) -> handlers.handle(endpointId, request, socket));
        endpoints.add(endpoint);
        RegisteredEndpoint entry = endpoint.registration();
        entries.add(entry);
        links.put(entry.address(), new CuttableLink(entry.address()));
        if (i < REPLACED_ENDPOINTS) {
          entries.add(replacedEntry("old-" + i, entry));
        }
      }
      deployment = new FakeDeployment(entries, /* linked= */ true);
      List<Thread> callers = new ArrayList<>();
      try {
        for (int i = 0; i < VMS; i++) {
          startVm();
        }
        for (int i = 0; i < CALLERS; i++) {
          SplittableRandom callerRandom = random.split();
          callers.add(Thread.ofVirtual().start(() -> callUntilStopped(callerRandom)));
        }
        disturb();
        stopped = true;
        for (Thread caller : callers) {
          caller.join();
        }
        restoreLinks();
        Thread.sleep(SETTLE_MILLIS);
      } finally {
        stopped = true;
        deployment.close();
        for (CuttableLink link : links.values()) {
          link.close();
        }
        for (FakeEndpoint endpoint : endpoints) {
          endpoint.close();
        }
        client.close();
      }
    }

    private static RegisteredEndpoint replacedEntry(String id, RegisteredEndpoint current) {
      return new RegisteredEndpoint(
          new EndpointId(id),
          current.service(),
          current.address(),
          current.zone(),
          current.slots(),
          /* draining= */ false,
          0,
          0);
    }

    /** Starts one more VM. The links of every third one can be cut, so mostly those of one. */
    private void startVm() throws IOException {
      startedVms++;
      boolean cuttable = startedVms % VMS == 0;
      deployment.startVm(address -> cuttable ? links.get(address).address() : address);
    }

    private void disturb() throws IOException, InterruptedException {
      while (System.nanoTime() - startNanos < duration.toNanos()) {
        Thread.sleep(random.nextLong(100, 400));
        switch (random.nextInt(4)) {
          case 0 -> cutLinks();
          case 1 -> restoreLinks();
          case 2 -> endpoints.get(random.nextInt(ENDPOINTS)).closeConnections();
          default -> {
            startVm();
            deployment.stopFirstVm();
            stoppedVms.incrementAndGet();
          }
        }
      }
    }

    private void cutLinks() throws IOException {
      restoreLinks();
      CuttableLink.Cut[] cuts = CuttableLink.Cut.values();
      for (FakeEndpoint endpoint : endpoints) {
        if (random.nextInt(4) > 0) {
          links.get(endpoint.registration().address()).cut(cuts[random.nextInt(cuts.length)]);
        }
      }
    }

    private void restoreLinks() throws IOException {
      for (CuttableLink link : links.values()) {
        link.restore();
      }
    }

    private void callUntilStopped(SplittableRandom choices) {
      try {
        while (!stopped) {
          int number = nextRequest.incrementAndGet();
          String id = "s" + seed + "-" + number;
          boolean once = choices.nextBoolean();
          List<HostAndPort> vms = deployment.callerAddresses();
          HostAndPort vm = vms.get(choices.nextInt(stoppedVms.get(), vms.size()));
          URI uri =
              URI.create("http://" + vm + (once ? FakeDeployment.ONCE_PREFIX : "/all/") + number);
          List<Send> sent = new CopyOnWriteArrayList<>();
          sends.put(id, sent);
          do {
            Thread.sleep(choices.nextLong(1, 15));
            sent.add(send(id, once, uri));
          } while (sent.getLast().status() == STATUS_UNAVAILABLE
              && sent.size() < MAX_SENDS
              && choices.nextBoolean());
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    /** Sends a request by POST, which the client never sends twice. */
    private Send send(String id, boolean once, URI uri) throws InterruptedException {
      HttpRequest request =
          HttpRequest.newBuilder(uri)
              .version(HttpClient.Version.HTTP_1_1)
              .timeout(Duration.ofSeconds(5))
              .header("X-Request-Id", id)
              .header("X-Deadline-Ms", "2000")
              .POST(BodyPublishers.ofString("x"))
              .build();
      long sentNanos = System.nanoTime();
      try {
        HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
        return new Send(
            id, once, sentNanos, System.nanoTime(), response.statusCode(), response.body());
      } catch (IOException e) {
        return new Send(id, once, sentNanos, System.nanoTime(), 0, "");
      }
    }

    /** Judges the sends of one id, each by what happened until the caller sent the id again. */
    private void judge(List<Send> sent, List<String> violations) {
      for (int i = 0; i < sent.size(); i++) {
        Send send = sent.get(i);
        long fromNanos = send.sentNanos();
        long untilNanos = i + 1 < sent.size() ? sent.get(i + 1).sentNanos() : Long.MAX_VALUE;
        List<Long> runs =
            handlers.runNanos(send.id()).stream()
                .filter(nanos -> nanos >= fromNanos && nanos < untilNanos)
                .toList();
        if (PROMISES.contains(send.status()) && !runs.isEmpty()) {
          long before = runs.stream().filter(nanos -> nanos < send.endedNanos()).count();
          long after = runs.size() - before;
          violations.add(
              describe(
                  sent,
                  "answered %d: ran %d times before and %d times after the answer"
                      .formatted(send.status(), before, after)));
        }
        if (send.once() && runs.size() > 1) {
          violations.add(describe(sent, "not idempotent: ran " + runs.size() + " times"));
        }
        if (send.status() == 200 && !handlers.bodies(send.id()).contains(send.body())) {
          violations.add(describe(sent, "has a body that no endpoint wrote for it"));
        }
      }
    }

    private String describe(List<Send> sent, String problem) {
      String id = sent.getFirst().id();
      List<String> lines =
          log.list.stream()
              .filter(event -> event.getKeyValuePairs() != null)
              .filter(event -> event.getKeyValuePairs().toString().contains('"' + id + '"'))
              .map(event -> event.getMessage() + " " + event.getKeyValuePairs())
              .toList();
      return "soak: VIOLATION seed %d, request %s %s%n  sends %s%n  runs %s%n  %s"
          .formatted(
              seed,
              id,
              problem,
              sent,
              handlers.runNanos(id),
              String.join(
                  "\n  ", lines.subList(Math.max(0, lines.size() - MAX_LOG_LINES), lines.size())));
    }
  }
}
