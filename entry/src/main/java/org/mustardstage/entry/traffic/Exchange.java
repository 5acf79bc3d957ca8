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
import org.mustardstage.core.outcome.AttemptEnd;
import org.mustardstage.core.outcome.AttemptHistory;
import org.mustardstage.core.outcome.NotRunCause;
import org.mustardstage.core.outcome.Outcome;
import org.mustardstage.core.outcome.Outcome.NotRun;
import org.mustardstage.core.outcome.Outcome.OutcomeUnknown;
import org.mustardstage.core.outcome.RetryDecision;
import org.mustardstage.core.outcome.UnknownCause;
import org.mustardstage.core.overload.RefusalReason;
import org.mustardstage.entry.control.AdmissionDecision;
import org.mustardstage.entry.control.AdmissionDecision.Admitted;
import org.mustardstage.entry.control.AdmissionDecision.Refused;
import org.mustardstage.entry.control.AdmissionRequest;
import org.mustardstage.entry.control.UseEnd;

/** One request of a caller, with all its tries. It ends exactly once, at its deadline at latest. */
final class Exchange {
  private final TrafficThread thread;
  private final CallerRequest request;
  private final SettablePromise<ExchangeOutcome> outcome = new SettablePromise<>();
  private final Set<EndpointId> attemptedEndpoints = new LinkedHashSet<>();
  private AttemptHistory history;
  private @Nullable EndpointAttempt activeAttempt;
  private @Nullable ScheduledRunnable deadlineTimer;

  Exchange(TrafficThread thread, CallerRequest request) {
    this.thread = thread;
    this.request = request;
    this.history = AttemptHistory.none(request.call().idempotent());
  }

  /** Runs the request. The promise never fails. */
  Promise<ExchangeOutcome> start() {
    long leftNanos = request.deadlineNanos() - System.nanoTime();
    long leftMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(leftNanos));
    deadlineTimer = thread.reactor().delay(leftMillis, this::onDeadline);
    requestAdmission();
    return outcome;
  }

  /** Gives the request up because its caller left. */
  void onCallerDisconnect() {
    abort(new NotRun(NotRunCause.refusedBy(RefusalReason.CALLER_LEFT), 0));
  }

  private void onDeadline() {
    long retryAfterMillis = thread.limits().retryRule().retryAfterMillis();
    abort(new NotRun(NotRunCause.refusedBy(RefusalReason.DEADLINE_PASSED), retryAfterMillis));
  }

  private void abort(NotRun whenNotSent) {
    EndpointAttempt given = activeAttempt;
    boolean inFlight = given != null && given.hasSentBytes();
    Outcome outcome =
        inFlight
            ? new OutcomeUnknown(UnknownCause.DEADLINE_PASSED_IN_FLIGHT)
            : thread.limits().retryRule().outcomeOfRefusal(history, whenNotSent);
    complete(new ExchangeOutcome.Failed(outcome));
    if (given != null) {
      given.cancel();
    }
  }

  private void requestAdmission() {
    AdmissionRequest asked =
        new AdmissionRequest(
            request.service(), request.call(), request.deadlineNanos(), history.attempts(), attemptedEndpoints);
    thread.admission().admit(asked).subscribe(this::onAdmissionDecision);
  }

  private void onAdmissionDecision(AdmissionDecision decision, @Nullable Exception e) {
    if (e != null) {
      thread.logUnexpectedFailure(e);
      onRejected(new Refused(RefusalReason.NO_ENDPOINT, 0));
      return;
    }
    switch (decision) {
      case Admitted admitted when outcome.isComplete() ->
          thread.admission().end(admitted.useId(), neverSent());
      case Admitted admitted -> startAttempt(admitted);
      case Refused refused -> onRejected(refused);
    }
  }

  private void onRejected(Refused refused) {
    NotRun notRun = new NotRun(NotRunCause.refusedBy(refused.reason()), refused.retryAfterMillis());
    Outcome outcome = thread.limits().retryRule().outcomeOfRefusal(history, notRun);
    complete(new ExchangeOutcome.Failed(outcome));
  }

  private void startAttempt(Admitted admitted) {
    attemptedEndpoints.add(admitted.endpoint().id());
    EndpointAttempt started = new EndpointAttempt(thread, request, admitted);
    activeAttempt = started;
    started.start().whenResult(this::onAttemptResult);
  }

  private void onAttemptResult(AttemptResult tried) {
    if (outcome.isComplete()) {
      return;
    }
    switch (tried) {
      case AttemptResult.Responded answer -> onResponse(answer.response());
      case AttemptResult.Failed noAnswer -> onAttemptFailed(noAnswer.failure());
    }
  }

  private void onResponse(EndpointResponse answer) {
    switch (answer.body()) {
      case Body.Buffered held -> complete(new ExchangeOutcome.Responded(answer, activeAttempt.endpoint().id()));
      case Body.Streamed streamed -> {
        outcome.set(new ExchangeOutcome.Responded(answer, activeAttempt.endpoint().id()));
      }
    }
  }

  private void onAttemptFailed(AttemptEnd end) {
    activeAttempt = null;
    RetryDecision decision =
        thread.limits().retryRule().decide(history, end, request.isBodyReplayable());
    history = history.and(end);
    switch (decision) {
      case RetryDecision.TryAgain again -> requestAdmission();
      case RetryDecision.GiveUp giveUp -> complete(new ExchangeOutcome.Failed(giveUp.outcome()));
    }
  }

  private void complete(ExchangeOutcome end) {
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    outcome.trySet(end);
  }

  private static UseEnd neverSent() {
    return new UseEnd(UseEnd.Result.NEVER_SENT, 0, OptionalDouble.empty(), Optional.empty());
  }
}
