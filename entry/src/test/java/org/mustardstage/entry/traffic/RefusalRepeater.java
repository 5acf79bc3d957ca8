package org.mustardstage.entry.traffic;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.entry.traffic.FakeEndpoint.ReceivedRequest;
import org.mustardstage.entry.traffic.FakeEndpoint.ResponseWriter;

/**
 * An endpoint that refuses each request whose body begins with {@link #REFUSED} once, and writes
 * the latest refusal on a connection again. It keeps its word: what it refused or said to be
 * cancelled before its run doesn't run. Beside it is a sound endpoint at another address.
 */
final class RefusalRepeater implements AutoCloseable {
  static final String ID = "Mustardstage-Request-Id";
  static final String REFUSED = "refused";

  /** Requests whose body begins with this run, and their connection is closed meanwhile. */
  static final String CUT = "cut";

  private static final long RETRY_DELAY_MILLIS = 10;

  /** When the endpoint writes the latest refusal on a connection once more. */
  enum Moment {
    WITH_THE_REFUSAL,
    HALF_WITH_THE_REFUSAL,
    BETWEEN_THE_REQUESTS,
    HALF_BETWEEN_THE_REQUESTS,
    BEFORE_THE_NEXT_RUN,
    DURING_THE_NEXT_RUN,
    DURING_THE_NEXT_RUN_IN_HALVES,
    DURING_THE_NEXT_RUN_THREE_TIMES,
    WITH_THE_NEXT_RESPONSE,
    BEHIND_THE_NEXT_RESPONSE,
    AFTER_THE_NEXT_RESPONSE
  }

  final FakeEndpoint repeating = new FakeEndpoint("desk-new");
  final FakeEndpoint sound = new FakeEndpoint("desk-other");

  private final int refusalStatus;
  private final String refusalCode;
  private final Moment moment;
  private final AtomicInteger copies = new AtomicInteger();
  private final Map<String, AtomicInteger> runsByBody = new ConcurrentHashMap<>();
  private final Map<String, String> stateById = new ConcurrentHashMap<>();
  private final Map<Integer, String> refusalByConnection = new ConcurrentHashMap<>();
  private final Set<String> refusedBodies = ConcurrentHashMap.newKeySet();

  RefusalRepeater(int refusalStatus, String refusalCode, Moment moment) throws IOException {
    this.refusalStatus = refusalStatus;
    this.refusalCode = refusalCode;
    this.moment = moment;
    repeating.setScript(this::refuseOrRun);
    repeating.setCancelScript((request, response) -> response.sendRaw(cancelResponse(request)));
    sound.setScript(
        (request, response) -> {
          if (startRun(request)) {
            respond(request, response, "", "");
          }
        });
    sound.setCancelScript((request, response) -> response.sendRaw(cancelResponse(request)));
  }

  /** Returns an admission to this endpoint, then to another id at its address, then elsewhere. */
  FakeAdmission admission() {
    Endpoint current = repeating.endpoint();
    Endpoint earlier =
        new Endpoint(
            new EndpointId("desk-old"),
            current.zone(),
            current.address(),
            current.slots(),
            current.connections());
    FakeAdmission admission = new FakeAdmission(earlier, current, sound.endpoint());
    admission.delayRetries(RETRY_DELAY_MILLIS);
    return admission;
  }

  /** Returns how often refusals were written again. */
  int copies() {
    return copies.get();
  }

  /** Returns how often the request with {@code body} has run. */
  int runsOf(String body) {
    return Optional.ofNullable(runsByBody.get(body)).map(AtomicInteger::get).orElse(0);
  }

  /** Returns how often each request has run, by its body. */
  ImmutableMap<String, Integer> runs() {
    ImmutableMap.Builder<String, Integer> runs = ImmutableMap.builder();
    runsByBody.forEach((body, count) -> runs.put(body, count.get()));
    return runs.buildOrThrow();
  }

  /** Counts a run, unless the request was cancelled before it began. */
  boolean startRun(ReceivedRequest request) {
    if (stateById.putIfAbsent(request.header(ID), "running") != null) {
      return false;
    }
    runsByBody.computeIfAbsent(request.body(), body -> new AtomicInteger()).incrementAndGet();
    return true;
  }

  /** Forgets all requests, as a process that starts again does. */
  void forgetRequests() {
    stateById.clear();
  }

  /** Returns the response to a cancel. An id that is unknown never runs from then on. */
  String cancelResponse(ReceivedRequest request) {
    String line = request.requestLine();
    String id = line.substring(line.indexOf('=') + 1, line.lastIndexOf(' '));
    String earlierState = stateById.putIfAbsent(id, "not-run");
    String state = earlierState == null ? "not-run" : earlierState;
    String body = "{\"state\":\"" + state + "\"}";
    return "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s".formatted(body.length(), body);
  }

  @Override
  public void close() throws IOException {
    repeating.close();
    sound.close();
  }

  private void refuseOrRun(ReceivedRequest request, ResponseWriter response)
      throws IOException, InterruptedException {
    if (request.body().startsWith(REFUSED) && refusedBodies.add(request.body())) {
      refuse(request, response);
    } else {
      run(request, response);
    }
  }

  private void refuse(ReceivedRequest request, ResponseWriter response)
      throws IOException, InterruptedException {
    String refusal =
        "HTTP/1.1 %d Refused\r\nMustardstage-Refused: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n"
            .formatted(refusalStatus, refusalCode, ID, request.header(ID));
    String half = firstHalf(refusal);
    stateById.put(request.header(ID), "not-run");
    refusalByConnection.put(request.connectionNumber(), refusal);
    switch (moment) {
      case WITH_THE_REFUSAL -> response.sendRaw(refusal + copy(refusal));
      case HALF_WITH_THE_REFUSAL -> {
        response.sendRaw(refusal + copy(half));
        pause();
        response.sendRaw(refusal.substring(half.length()));
      }
      case BETWEEN_THE_REQUESTS, HALF_BETWEEN_THE_REQUESTS -> {
        response.sendRaw(refusal);
        pause();
        response.sendRaw(copy(moment == Moment.BETWEEN_THE_REQUESTS ? refusal : half));
      }
      default -> response.sendRaw(refusal);
    }
  }

  private void run(ReceivedRequest request, ResponseWriter response)
      throws IOException, InterruptedException {
    String refusal = refusalByConnection.getOrDefault(request.connectionNumber(), "");
    String half = firstHalf(refusal);
    if (moment == Moment.HALF_BETWEEN_THE_REQUESTS) {
      response.sendRaw(refusal.substring(half.length()));
      pause();
    }
    if (moment == Moment.BEFORE_THE_NEXT_RUN) {
      response.sendRaw(copy(refusal));
      pause();
    }
    if (!startRun(request)) {
      return;
    }
    if (request.body().startsWith(CUT)) {
      response.closeConnection();
      return;
    }
    switch (moment) {
      case DURING_THE_NEXT_RUN -> response.sendRaw(copy(refusal));
      case DURING_THE_NEXT_RUN_THREE_TIMES -> response.sendRaw(copy(refusal) + refusal + refusal);
      case DURING_THE_NEXT_RUN_IN_HALVES -> {
        response.sendRaw(copy(half));
        pause();
        response.sendRaw(refusal.substring(half.length()));
      }
      default -> {}
    }
    Thread.sleep(2);
    switch (moment) {
      case WITH_THE_NEXT_RESPONSE -> respond(request, response, copy(refusal), "");
      case BEHIND_THE_NEXT_RESPONSE -> respond(request, response, "", copy(refusal));
      case AFTER_THE_NEXT_RESPONSE -> {
        respond(request, response, "", "");
        pause();
        response.sendRaw(copy(refusal));
      }
      default -> respond(request, response, "", "");
    }
  }

  private void respond(
      ReceivedRequest request, ResponseWriter response, String before, String after)
      throws IOException {
    stateById.put(request.header(ID), "done");
    String body = "done " + request.body();
    response.sendRaw(
        "%sHTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s%s"
            .formatted(before, ID, request.header(ID), body.length(), body, after));
  }

  private String copy(String text) {
    copies.addAndGet(text.isEmpty() ? 0 : 1);
    return text;
  }

  /** Pauses for a varying time, so that copies arrive before and after what the VM sends next. */
  private void pause() throws InterruptedException {
    Thread.sleep(copies.get() % 3);
  }

  private static String firstHalf(String text) {
    return text.substring(0, text.length() / 2);
  }
}
