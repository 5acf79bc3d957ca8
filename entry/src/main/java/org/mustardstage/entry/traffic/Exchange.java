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
import org.mustardstage.entry.control.AdmissionDecision.Refused;
import org.mustardstage.entry.control.AdmissionRequest;
import org.mustardstage.entry.control.UseEnd;

/** One request of a caller, with all its tries. It ends exactly once, at its deadline at latest. */
final class Exchange {
  private final TrafficThread thread;
  private final CallerRequest request;
  private final SettablePromise<ExchangeResult> result = new SettablePromise<>();
  private final Set<EndpointId> avoid = new LinkedHashSet<>();
  private AttemptHistory history;
  private @Nullable EndpointTry running;
  private @Nullable ScheduledRunnable deadlineTimer;

  Exchange(TrafficThread thread, CallerRequest request) {
    this.thread = thread;
    this.request = request;
    this.history = AttemptHistory.initial(request.call().idempotent());
  }

  /** Runs the request. The promise never fails. */
  Promise<ExchangeResult> start() {
    long leftNanos = request.deadlineNanos() - System.nanoTime();
    long leftMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(leftNanos));
    deadlineTimer = thread.reactor().delay(leftMillis, this::onDeadline);
    admit();
    return result;
  }

  /** Gives the request up because its caller left. */
  void onCallerLeft() {
    giveUp(new NotRun(NotRunCause.ofRejection(RejectionReason.CALLER_LEFT), 0));
  }

  private void onDeadline() {
    long retryAfterMillis = thread.limits().retryRule().retryAfterMillis();
    giveUp(new NotRun(NotRunCause.ofRejection(RejectionReason.DEADLINE_PASSED), retryAfterMillis));
  }

  private void giveUp(NotRun whenNotSent) {
    EndpointTry given = running;
    boolean inFlight = given != null && given.hasSentByte();
    Outcome outcome =
        inFlight
            ? new OutcomeUnknown(UnknownOutcomeCause.DEADLINE_PASSED_IN_FLIGHT)
            : thread.limits().retryRule().outcomeOfRejection(history, whenNotSent);
    finish(new ExchangeResult.Failed(outcome));
    if (given != null) {
      given.abandon();
    }
  }

  private void admit() {
    AdmissionRequest asked =
        new AdmissionRequest(
            request.service(), request.call(), request.deadlineNanos(), history.attempts(), avoid);
    thread.admission().admit(asked).subscribe(this::onDecision);
  }

  private void onDecision(AdmissionDecision decision, @Nullable Exception e) {
    if (e != null) {
      thread.onBug(e);
      onRefused(new Refused(RejectionReason.NO_ENDPOINT, 0));
      return;
    }
    switch (decision) {
      case Admitted admitted when result.isComplete() ->
          thread.admission().end(admitted.useId(), neverSent());
      case Admitted admitted -> tryAt(admitted);
      case Refused refused -> onRefused(refused);
    }
  }

  private void onRefused(Refused refused) {
    NotRun notRun =
        new NotRun(NotRunCause.ofRejection(refused.reason()), refused.retryAfterMillis());
    Outcome outcome = thread.limits().retryRule().outcomeOfRejection(history, notRun);
    finish(new ExchangeResult.Failed(outcome));
  }

  private void tryAt(Admitted admitted) {
    avoid.add(admitted.endpoint().id());
    EndpointTry started = new EndpointTry(thread, request, admitted);
    running = started;
    started.start().whenResult(this::onTryResult);
  }

  private void onTryResult(TryResult tried) {
    if (result.isComplete()) {
      return;
    }
    switch (tried) {
      case TryResult.Answer answer -> onAnswer(answer.answer());
      case TryResult.NoAnswer noAnswer -> onNoAnswer(noAnswer.end());
    }
  }

  private void onAnswer(EndpointAnswer answer) {
    switch (answer.body()) {
      case Body.Held held -> finish(new ExchangeResult.Answered(answer, running.endpoint().id()));
      case Body.Streamed streamed -> {
        result.set(new ExchangeResult.Answered(answer, running.endpoint().id()));
      }
    }
  }

  private void onNoAnswer(AttemptFailure end) {
    running = null;
    RetryDecision decision =
        thread.limits().retryRule().decide(history, end, request.canBeSentAgain());
    history = history.withFailure(end);
    switch (decision) {
      case RetryDecision.Retry again -> admit();
      case RetryDecision.Finish giveUp -> finish(new ExchangeResult.Failed(giveUp.outcome()));
    }
  }

  private void finish(ExchangeResult end) {
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    result.trySet(end);
  }

  private static UseEnd neverSent() {
    return new UseEnd(UseEnd.Result.NEVER_SENT, 0, OptionalDouble.empty(), Optional.empty());
  }
}
