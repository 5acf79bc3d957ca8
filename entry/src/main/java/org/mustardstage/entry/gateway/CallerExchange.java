package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Ints;
import io.activej.http.HttpMethod;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.placement.AttemptResult;
import org.mustardstage.core.placement.AttemptResult.LoadReport;
import org.mustardstage.core.placement.AttemptResult.Status;
import org.mustardstage.core.placement.PlacementDecision;

/**
 * Carries one request of a caller: has it placed, sends it, and sends it again as far as its kind
 * and its rule allow. It ends with the answer of an endpoint, or with a failure that says truly
 * whether the request may have run.
 */
final class CallerExchange {
  /** An answer that leaves this much less than the deadline at the endpoint still arrives here. */
  private static final long DEADLINE_MARGIN_MILLIS = 2;

  /** A connection that takes longer than this has met an endpoint that is gone. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** An idempotent request is sent elsewhere when its answer takes this much longer than usual. */
  private static final double SILENT_AFTER_EXPECTED = 3;

  private static final long SILENT_AFTER_AT_LEAST_MILLIS = 500;

  private static final int MAX_LINKS_TO_ENDPOINT = 64;
  private static final int MAX_UNREACHABLE = 4;
  private static final int MISDIRECTED = 421;
  private static final int SERVER_ERRORS_FROM = 500;

  private final NioReactor reactor;
  private final Placer placer;
  private final EndpointLinks links;
  private final HeaderNames dialect;
  private final CallerRequest request;
  private final SettablePromise<ExchangeEnd> end = new SettablePromise<>();
  private final Set<EndpointId> tried = new HashSet<>();
  private final List<String> trace = new ArrayList<>();
  private Optional<Placer.Ticket> ticket = Optional.empty();
  private final List<Try> running = new ArrayList<>();
  private Optional<ScheduledRunnable> timeout = Optional.empty();
  private int sent;
  private int unreachable;
  private boolean mayHaveRun;

  /** An endpoint's failure that is passed on if no other endpoint does better. */
  private Optional<ExchangeEnd.Answered> failedAnswer = Optional.empty();

  /** One send to one endpoint. */
  private final class Try {
    private final PlacementDecision.Placed placed;
    private final EndpointLink link;
    private final long startedNanos = System.nanoTime();
    private Optional<ScheduledRunnable> silence = Optional.empty();
    private boolean silent;

    Try(PlacementDecision.Placed placed, EndpointLink link) {
      this.placed = placed;
      this.link = link;
    }

    void finish(Status result, Optional<LoadReport> report) {
      silence.ifPresent(ScheduledRunnable::cancel);
      long elapsedNanos = System.nanoTime() - startedNanos;
      Optional<Long> connectNanos =
          link.connectNanos().isPresent()
              ? Optional.of(link.connectNanos().getAsLong())
              : Optional.empty();
      trace.add(placed.endpoint().id() + ":" + result + ":" + elapsedNanos / 1_000_000);
      placer.release(
          request.service(), placed, new AttemptResult(result, elapsedNanos, connectNanos, report));
    }
  }

  CallerExchange(
      NioReactor reactor,
      Placer placer,
      EndpointLinks links,
      HeaderNames dialect,
      CallerRequest request) {
    this.reactor = reactor;
    this.placer = placer;
    this.links = links;
    this.dialect = dialect;
    this.request = request;
  }

  /** Begins; the promise never fails. */
  Promise<ExchangeEnd> start() {
    long leftMillis = leftMillis();
    timeout = Optional.of(reactor.delay(Math.max(1, leftMillis), this::onTimeout));
    askForEndpoint();
    return end;
  }

  /** Returns what happened at which endpoint, for the log. */
  List<String> trace() {
    return trace;
  }

  private long leftMillis() {
    return TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - System.nanoTime());
  }

  private void askForEndpoint() {
    long aimNanos =
        request.arrivedNanos()
            + TimeUnit.MILLISECONDS.toNanos(request.rule().latencyObjectiveMillis());
    boolean[] decided = new boolean[1];
    Placer.Ticket asked =
        placer.place(
            new PlaceRequest(
                request.service(),
                request.rule(),
                request.object(),
                request.arrivedNanos(),
                aimNanos,
                request.deadlineNanos(),
                tried,
                sent > 0),
            decision -> {
              decided[0] = true;
              onDecision(decision);
            });
    if (!decided[0]) {
      ticket = Optional.of(asked);
    }
  }

  private void onDecision(PlacementDecision decision) {
    ticket = Optional.empty();
    switch (decision) {
      case PlacementDecision.Placed placed -> {
        if (end.isComplete()) {
          placer.release(
              request.service(),
              placed,
              new AttemptResult(Status.ABANDONED, 0, Optional.empty(), Optional.empty()));
          return;
        }
        send(placed);
      }
      case PlacementDecision.Rejected away -> {
        trace.add(away.reason().toString());
        if (!running.isEmpty()) {
          return;
        }
        finish(
            mayHaveRun
                ? new ExchangeEnd.Unknown(ExchangeEnd.Unknown.Cause.ENDPOINT_FAILED)
                : new ExchangeEnd.NotRun(away.reason().toString(), away.retryAfterMillis()));
      }
    }
  }

  private void send(PlacementDecision.Placed placed) {
    RegisteredEndpoint endpoint = placed.endpoint();
    long leftMillis = leftMillis() - DEADLINE_MARGIN_MILLIS;
    byte[] bytes = RequestBytes.of(request, endpoint, dialect, Math.max(1, leftMillis));
    boolean withoutBody = request.method() == HttpMethod.HEAD;
    Optional<EndpointLink> idle =
        links.takeIdle(endpoint.address(), System.nanoTime(), request.rule().idempotent());
    EndpointLink link;
    Promise<Either<LinkFailure, EndpointReply>> reply;
    tried.add(endpoint.id());
    if (idle.isPresent()) {
      link = idle.get();
      reply = link.send(request.id(), withoutBody, bytes);
    } else {
      Optional<EndpointLink> created = links.create(endpoint.address(), MAX_LINKS_TO_ENDPOINT);
      if (created.isEmpty()) {
        placer.release(
            request.service(),
            placed,
            new AttemptResult(Status.ABANDONED, 0, Optional.empty(), Optional.empty()));
        if (running.isEmpty()) {
          finish(notRunOrUnknown("NO_LINK"));
        }
        return;
      }
      link = created.get();
      Duration connectTimeout =
          Duration.ofMillis(Math.min(CONNECT_TIMEOUT.toMillis(), Math.max(1, leftMillis)));
      reply = link.connectAndSend(connectTimeout, request.id(), withoutBody, bytes);
    }
    sent++;
    Try current = new Try(placed, link);
    running.add(current);
    watchSilence(current);
    reply.whenResult(outcome -> onOutcome(current, outcome));
  }

  private void watchSilence(Try current) {
    if (!request.rule().idempotent() || sent >= request.rule().maxAttempts()) {
      return;
    }
    long expectedMillis = TimeUnit.NANOSECONDS.toMillis(current.placed.expectedResponseNanos());
    long silentMillis =
        Math.max(SILENT_AFTER_AT_LEAST_MILLIS, (long) (SILENT_AFTER_EXPECTED * expectedMillis));
    if (silentMillis + expectedMillis < leftMillis()) {
      current.silence = Optional.of(reactor.delay(silentMillis, () -> onSilent(current)));
    }
  }

  /**
   * Asks for a second endpoint when the first has answered nothing since the request was sent, and
   * keeps the first: whichever answers first counts, and nothing is lost if there is no second.
   */
  private void onSilent(Try current) {
    if (!running.contains(current) || running.size() > 1) {
      return;
    }
    if (links.lastAnswerNanos(current.placed.endpoint().address()) - current.startedNanos > 0) {
      watchSilence(current);
      return;
    }
    current.silent = true;
    links.closeIdle(current.placed.endpoint().address());
    askForEndpoint();
  }

  private void onOutcome(Try current, Either<LinkFailure, EndpointReply> outcome) {
    if (!running.remove(current)) {
      return;
    }
    if (outcome.isRight()) {
      onReply(current, outcome.get());
      return;
    }
    switch (outcome.getLeft()) {
      case NOT_CONNECTED -> {
        current.finish(Status.UNREACHABLE, Optional.empty());
        sent--;
        unreachable++;
        if (!running.isEmpty()) {
          return;
        }
        if (unreachable >= MAX_UNREACHABLE) {
          finish(notRunOrUnknown("ENDPOINTS_UNREACHABLE"));
          return;
        }
        askForEndpoint();
      }
      case FORGOTTEN -> {
        links.onForgotten(current.placed.endpoint().address(), current.link);
        current.finish(Status.ABANDONED, Optional.empty());
        tried.remove(current.placed.endpoint().id());
        mayHaveRun = true;
        trySendAgain(ExchangeEnd.Unknown.Cause.ANSWER_LOST);
      }
      case BROKEN, MALFORMED -> {
        current.finish(Status.SPOILED, Optional.empty());
        mayHaveRun = true;
        trySendAgain(ExchangeEnd.Unknown.Cause.ANSWER_LOST);
      }
    }
  }

  private void onReply(Try current, EndpointReply reply) {
    Optional<LoadReport> report = readLoad(reply);
    if (reply.headers().has(dialect.notExecuted()) || reply.status() == MISDIRECTED) {
      boolean misdirected = reply.status() == MISDIRECTED;
      giveBack(current);
      current.finish(misdirected ? Status.MISDIRECTED : Status.REFUSED, report);
      onRefused();
      return;
    }
    if (!isWhole(reply)) {
      current.link.close();
      current.finish(Status.SPOILED, report);
      mayHaveRun = true;
      trySendAgain(ExchangeEnd.Unknown.Cause.ANSWER_SPOILED);
      return;
    }
    giveBack(current);
    boolean failed = reply.status() >= SERVER_ERRORS_FROM;
    current.finish(failed ? Status.FAILED : Status.ANSWERED, report);
    if (failed && !running.isEmpty()) {
      mayHaveRun = true;
      return;
    }
    ExchangeEnd.Answered answered = new ExchangeEnd.Answered(reply, current.placed.endpoint().id());
    if (failed && request.rule().idempotent() && maySendAgain()) {
      mayHaveRun = true;
      failedAnswer = Optional.of(answered);
      askForEndpoint();
      return;
    }
    stopWork();
    finish(answered);
  }

  private void giveBack(Try current) {
    links.giveBack(current.placed.endpoint().address(), current.link);
  }

  /** Returns whether the answer is the endpoint's own and untouched. */
  private boolean isWhole(EndpointReply reply) {
    if (reply.headers().has("Content-Encoding")) {
      return false;
    }
    return !reply.isSuccess()
        || (reply.headers().has(dialect.endpointSeal())
            && reply.headers().find(dialect.requestId()).filter(request.id()::equals).isPresent());
  }

  private Optional<LoadReport> readLoad(EndpointReply reply) {
    return reply.headers().find(dialect.load()).flatMap(CallerExchange::parseLoad);
  }

  static Optional<LoadReport> parseLoad(String text) {
    String[] parts = text.split(",", -1);
    if (parts.length != 3) {
      return Optional.empty();
    }
    Integer runningCount = Ints.tryParse(parts[0].trim());
    Integer waitingCount = Ints.tryParse(parts[1].trim());
    Integer slots = Ints.tryParse(parts[2].trim());
    if (runningCount == null || waitingCount == null || slots == null) {
      return Optional.empty();
    }
    return Optional.of(new LoadReport(runningCount, waitingCount, slots));
  }

  private boolean maySendAgain() {
    return running.isEmpty()
        && sent < request.rule().maxAttempts()
        && leftMillis() > DEADLINE_MARGIN_MILLIS;
  }

  private void onRefused() {
    if (!running.isEmpty()) {
      return;
    }
    if (maySendAgain()) {
      askForEndpoint();
      return;
    }
    finish(notRunOrUnknown("REFUSED_BY_ENDPOINT"));
  }

  private ExchangeEnd notRunOrUnknown(String reason) {
    return mayHaveRun
        ? new ExchangeEnd.Unknown(ExchangeEnd.Unknown.Cause.ENDPOINT_FAILED)
        : new ExchangeEnd.NotRun(reason, request.rule().latencyObjectiveMillis() / 2);
  }

  private void trySendAgain(ExchangeEnd.Unknown.Cause cause) {
    if (!running.isEmpty()) {
      return;
    }
    if (request.rule().idempotent() && maySendAgain()) {
      askForEndpoint();
      return;
    }
    finish(new ExchangeEnd.Unknown(cause));
  }

  private void onTimeout() {
    boolean inFlight = !running.isEmpty();
    stopWork();
    finish(
        inFlight || mayHaveRun
            ? new ExchangeEnd.Unknown(ExchangeEnd.Unknown.Cause.TIMEOUT)
            : new ExchangeEnd.NotRun("DEADLINE", request.rule().latencyObjectiveMillis()));
  }

  /** The caller has left: what still waits or runs for it ends. */
  void onCallerLeft() {
    if (end.isComplete()) {
      return;
    }
    stopWork();
    finish(new ExchangeEnd.CallerLeft());
  }

  private void stopWork() {
    ticket.ifPresent(Placer.Ticket::withdraw);
    ticket = Optional.empty();
    for (Try current : ImmutableList.copyOf(running)) {
      current.link.close();
      current.finish(current.silent ? Status.SILENT : Status.ABANDONED, Optional.empty());
    }
    running.clear();
  }

  /** Ends the exchange; an endpoint's own failure is better than one made up here. */
  private void finish(ExchangeEnd result) {
    timeout.ifPresent(ScheduledRunnable::cancel);
    boolean noAnswer =
        result instanceof ExchangeEnd.NotRun || result instanceof ExchangeEnd.Unknown;
    end.trySet(noAnswer && failedAnswer.isPresent() ? failedAnswer.get() : result);
  }
}
