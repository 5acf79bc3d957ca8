package org.mustardstage.entry.gateway;

import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.placement.AttemptResult;
import org.mustardstage.core.placement.AttemptResult.Status;
import org.mustardstage.core.placement.PlacementDecision;
import org.mustardstage.core.quota.QuotaPermit;

/** One send of a request to one endpoint. */
final class RequestAttempt {
  private final Placer placer;
  private final ServiceName service;
  private final PlacementDecision.Placed placed;
  private final EndpointConnection connection;
  private final Optional<QuotaPermit> permit;
  private final List<String> trace;
  private final long startedNanos = System.nanoTime();
  private final List<ScheduledRunnable> timers = new ArrayList<>();
  private boolean finished;
  private boolean hedged;
  private boolean inTail;
  private OptionalLong respondedNanos = OptionalLong.empty();

  RequestAttempt(
      Placer placer,
      ServiceName service,
      PlacementDecision.Placed placed,
      EndpointConnection connection,
      Optional<QuotaPermit> permit,
      List<String> trace) {
    this.placer = placer;
    this.service = service;
    this.placed = placed;
    this.connection = connection;
    this.permit = permit;
    this.trace = trace;
  }

  RegisteredEndpoint endpoint() {
    return placed.endpoint();
  }

  EndpointConnection connection() {
    return connection;
  }

  /** Returns the permit by which it runs; empty if it needs none. */
  Optional<QuotaPermit> permit() {
    return permit;
  }

  long startedNanos() {
    return startedNanos;
  }

  long expectedMillis() {
    return placed.expectedResponseNanos() / 1_000_000;
  }

  /** Returns whether the connection was opened for this attempt. */
  boolean isOnNewConnection() {
    return connection.connectNanos().isPresent();
  }

  /** Adds a timer that ends with the attempt. */
  void addTimer(ScheduledRunnable timer) {
    timers.add(timer);
  }

  /** Records that another attempt runs beside this one, as this one brought no response in time. */
  void markHedged() {
    hedged = true;
  }

  /**
   * Records that the response has begun. What follows depends on the caller's pace too, and says
   * nothing about the endpoint's.
   */
  void markResponded() {
    timers.forEach(ScheduledRunnable::cancel);
    respondedNanos = OptionalLong.of(System.nanoTime());
  }

  /** Records that a hedge runs beside this attempt, as it takes longer than nearly all others. */
  void markInTail() {
    inTail = true;
  }

  /** Closes the connection, so that the endpoint stops its work, and ends the attempt. */
  void cancel() {
    cancel(Status.ABANDONED);
  }

  /** Cancels the attempt, as another one has responded. */
  void cancelOvertaken() {
    cancel(inTail ? Status.OVERTAKEN : Status.ABANDONED);
  }

  private void cancel(Status status) {
    connection.close();
    finish(hedged ? Status.SILENT : status, EndpointReport.NONE);
  }

  /** Closes the connection and ends the attempt, unless it has ended, as its handling failed. */
  void cancelAfterFault() {
    connection.close();
    if (!finished) {
      finish(Status.ABANDONED);
    }
  }

  /** Ends the attempt without a response. */
  void finish(Status status) {
    finish(status, EndpointReport.NONE);
  }

  /** Ends the attempt. */
  void finish(Status status, EndpointReport report) {
    finished = true;
    timers.forEach(ScheduledRunnable::cancel);
    long elapsedNanos = respondedNanos.orElseGet(System::nanoTime) - startedNanos;
    Optional<Long> connectNanos =
        connection.connectNanos().isPresent()
            ? Optional.of(connection.connectNanos().getAsLong())
            : Optional.empty();
    trace.add(
        endpoint().id()
            + ":"
            + status
            + ":"
            + elapsedNanos / 1_000_000
            + "@"
            + connection.number());
    placer.release(
        service,
        placed,
        new AttemptResult(status, elapsedNanos, connectNanos, report.load(), report.notice()));
  }
}
