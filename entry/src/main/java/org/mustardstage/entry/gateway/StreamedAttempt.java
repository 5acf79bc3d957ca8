package org.mustardstage.entry.gateway;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.placement.AttemptResult.Status;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/**
 * An attempt whose response goes to the caller while it arrives. The slot of the endpoint counts as
 * used until the response has been read. From here on the request is not sent to another endpoint:
 * what breaks off, ends the caller's connection.
 */
final class StreamedAttempt implements StreamedBody.Listener {
  private final GatewayServices services;
  private final CallerRequest request;
  private final RequestAttempt attempt;
  private final EndpointReport report;
  private final StreamedBody body;
  private Optional<ScheduledRunnable> deadline = Optional.empty();

  StreamedAttempt(
      GatewayServices services,
      CallerRequest request,
      RequestAttempt attempt,
      EndpointReport report,
      StreamedBody body) {
    this.services = services;
    this.request = request;
    this.attempt = attempt;
    this.report = report;
    this.body = body;
  }

  /** Follows the body until it has arrived, at most until the deadline of the request. */
  void start() {
    attempt.markResponded();
    body.setListener(this);
    long remainingMillis =
        TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - System.nanoTime());
    deadline =
        Optional.of(
            services
                .reactor()
                .delay(
                    Math.max(1, remainingMillis),
                    () -> body.closeEx(new AsyncTimeoutException("deadline of the request"))));
  }

  /** Stops the endpoint's work, as the caller has left. */
  void onCallerDisconnected() {
    body.close();
  }

  @Override
  public void onReceivedWhole() {
    deadline.ifPresent(ScheduledRunnable::cancel);
    services.largeResponses().recordSize(request.rule(), body.receivedBytes());
    services.connections().release(attempt.endpoint().address(), attempt.connection());
    attempt.finish(Status.ANSWERED, report);
  }

  @Override
  public void onBrokenOff() {
    deadline.ifPresent(ScheduledRunnable::cancel);
    attempt.finish(Status.SPOILED, report);
    log("endpoint");
  }

  @Override
  public void onCallerGone() {
    deadline.ifPresent(ScheduledRunnable::cancel);
    boolean late = System.nanoTime() - request.deadlineNanos() >= 0;
    if (body.isReceivedWhole()) {
      log("caller");
      return;
    }
    attempt.connection().close();
    attempt.finish(Status.ABANDONED, report);
    log(late ? "deadline" : "caller");
  }

  private void log(String cause) {
    EventLog.log(
        Event.LARGE_RESPONSE_CUT,
        "request",
        request.id(),
        "endpoint",
        attempt.endpoint().id(),
        "cause",
        cause,
        "receivedBytes",
        body.receivedBytes(),
        "sentBytes",
        body.sentBytes(),
        "lengthBytes",
        body.length().isPresent() ? body.length().getAsLong() : "unknown");
  }
}
