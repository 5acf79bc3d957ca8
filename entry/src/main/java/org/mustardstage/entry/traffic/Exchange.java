package org.mustardstage.entry.traffic;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.outcome.AttemptFailure;
import org.mustardstage.core.outcome.AttemptHistory;
import org.mustardstage.core.outcome.NotRunCause;
import org.mustardstage.core.outcome.Outcome;
import org.mustardstage.core.outcome.Outcome.NotRun;
import org.mustardstage.core.outcome.Outcome.OutcomeUnknown;
import org.mustardstage.core.outcome.RetryDecision;
import org.mustardstage.core.outcome.UnknownOutcomeCause;
import org.mustardstage.core.overload.RejectionReason;
import org.mustardstage.entry.control.AdmissionDecision;
import org.mustardstage.entry.control.AdmissionDecision.Admitted;
import org.mustardstage.entry.control.AdmissionDecision.Rejected;
import org.mustardstage.entry.control.AdmissionRequest;
import org.mustardstage.entry.control.AttemptReport;

/**
 * One request of a caller with all its attempts. It completes exactly once, no later than at its
 * deadline.
 */
final class Exchange {
  private final TrafficThread thread;
  private final CallerRequest request;
  private final SettablePromise<ExchangeOutcome> completion = new SettablePromise<>();
  private final Set<EndpointId> attemptedEndpoints = new LinkedHashSet<>();
  private AttemptHistory history;
  private @Nullable EndpointAttempt activeAttempt;
  private @Nullable ScheduledRunnable deadlineTimer;

  Exchange(TrafficThread thread, CallerRequest request) {
    this.thread = thread;
    this.request = request;
    this.history = AttemptHistory.initial(request.call().idempotent());
  }

  /** Runs the request. The promise never fails. */
  Promise<ExchangeOutcome> start() {
    long remainingNanos = request.deadlineNanos() - System.nanoTime();
    long remainingMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(remainingNanos));
    deadlineTimer = thread.reactor().delay(remainingMillis, this::onDeadline);
    requestAdmission();
    return completion;
  }

  /** Cancels the request because its caller disconnected. */
  void onCallerDisconnect() {
    abort(new NotRun(NotRunCause.ofRejection(RejectionReason.CALLER_LEFT), 0));
  }

  private void onDeadline() {
    long retryAfterMillis = thread.limits().retryPolicy().retryAfterMillis();
    abort(new NotRun(NotRunCause.ofRejection(RejectionReason.DEADLINE_PASSED), retryAfterMillis));
  }

  private void abort(NotRun outcomeIfNotSent) {
    EndpointAttempt attempt = activeAttempt;
    boolean inFlight = attempt != null && attempt.hasSentBytes();
    Outcome outcome =
        inFlight
            ? new OutcomeUnknown(UnknownOutcomeCause.DEADLINE_PASSED_IN_FLIGHT)
            : thread.limits().retryPolicy().outcomeOfRejection(history, outcomeIfNotSent);
    complete(new ExchangeOutcome.Failed(outcome));
    if (attempt != null) {
      attempt.cancel();
    }
  }

  private void requestAdmission() {
    AdmissionRequest admissionRequest =
        new AdmissionRequest(
            request.service(),
            request.call(),
            request.deadlineNanos(),
            history.attempts(),
            attemptedEndpoints);
    thread.admission().admit(admissionRequest).subscribe(this::onAdmissionDecision);
  }

  private void onAdmissionDecision(AdmissionDecision decision, @Nullable Exception e) {
    if (e != null) {
      thread.logUnexpectedFailure(e);
      onRejected(new Rejected(RejectionReason.NO_ENDPOINT, 0));
      return;
    }
    switch (decision) {
      case Admitted admitted when completion.isComplete() ->
          thread.admission().reportResult(admitted.attemptId(), neverSent());
      case Admitted admitted -> startAttempt(admitted);
      case Rejected rejected -> onRejected(rejected);
    }
  }

  private void onRejected(Rejected rejected) {
    NotRun notRun =
        new NotRun(NotRunCause.ofRejection(rejected.reason()), rejected.retryAfterMillis());
    Outcome outcome = thread.limits().retryPolicy().outcomeOfRejection(history, notRun);
    complete(new ExchangeOutcome.Failed(outcome));
  }

  private void startAttempt(Admitted admitted) {
    attemptedEndpoints.add(admitted.endpoint().id());
    EndpointAttempt attempt = new EndpointAttempt(thread, request, admitted);
    activeAttempt = attempt;
    attempt.start().whenResult(this::onAttemptResult);
  }

  private void onAttemptResult(AttemptResult attemptResult) {
    if (completion.isComplete()) {
      return;
    }
    switch (attemptResult) {
      case AttemptResult.Responded responded -> onResponse(responded.response());
      case AttemptResult.Failed failed -> onAttemptFailed(failed.failure());
    }
  }

  private void onResponse(EndpointResponse response) {
    switch (response.body()) {
      case Body.Buffered buffered ->
          complete(new ExchangeOutcome.Responded(response, activeAttempt.endpoint().id()));
      case Body.Streamed streamed -> {
        completion.set(new ExchangeOutcome.Responded(response, activeAttempt.endpoint().id()));
      }
    }
  }

  private void onAttemptFailed(AttemptFailure failure) {
    activeAttempt = null;
    RetryDecision decision =
        thread.limits().retryPolicy().decide(history, failure, request.isBodyReplayable());
    history = history.withFailure(failure);
    switch (decision) {
      case RetryDecision.Retry retry -> requestAdmission();
      case RetryDecision.Finish finish -> complete(new ExchangeOutcome.Failed(finish.outcome()));
    }
  }

  private void complete(ExchangeOutcome outcome) {
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    completion.trySet(outcome);
  }

  private static AttemptReport neverSent() {
    return new AttemptReport(
        AttemptReport.Result.NEVER_SENT, 0, OptionalDouble.empty(), Optional.empty());
  }
}
