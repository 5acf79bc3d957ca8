package org.mustardstage.core.fuzz;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.outcome.AttemptFailure;
import org.mustardstage.core.outcome.AttemptHistory;
import org.mustardstage.core.outcome.IdempotencyKey;
import org.mustardstage.core.outcome.IdempotencyKeyStore;
import org.mustardstage.core.outcome.IdempotencyKeyStoreLimits;
import org.mustardstage.core.outcome.KeyClaim;
import org.mustardstage.core.outcome.KeyPrefix;
import org.mustardstage.core.outcome.KeyedOutcome;
import org.mustardstage.core.outcome.NotRunReason;
import org.mustardstage.core.outcome.Outcome;
import org.mustardstage.core.outcome.RetryDecision;
import org.mustardstage.core.outcome.RetryPolicy;
import org.mustardstage.core.outcome.StoredResponse;
import org.mustardstage.core.outcome.UnknownOutcomeCause;

/**
 * Applies steps to the home VM of some idempotency keys and counts how often the request of each
 * key runs.
 */
final class KeyRun {
  static final int KEYS = 5;
  private static final VmId HOME = new VmId("home");
  private static final IdempotencyKeyStoreLimits LIMITS =
      new IdempotencyKeyStoreLimits(4, 4_096, 64, 3);
  private static final RetryPolicy RETRY_POLICY = new RetryPolicy(3, 100);
  private static final StoredResponse RESPONSE =
      new StoredResponse(200, List.of(), new StoredResponse.Body(new byte[8]));

  private final KeyFault fault;
  private final List<Request> requests = new ArrayList<>();
  private final Map<Request, Integer> runs = new HashMap<>();
  private IdempotencyKeyStore keyStore = new IdempotencyKeyStore(LIMITS);
  private long incarnation = 1;
  private long epoch;
  private long lastKeyNumber;
  private String violation;

  /** The request of one key. Its caller sends the same content each time. */
  private static final class Request {
    final IdempotencyKey key;
    final boolean isIdempotent;
    AttemptHistory history;
    boolean isRunning;

    Request(IdempotencyKey key, boolean isIdempotent) {
      this.key = key;
      this.isIdempotent = isIdempotent;
      this.history = AttemptHistory.initial(isIdempotent);
    }
  }

  KeyRun(KeyFault fault) {
    this.fault = fault;
    for (int key = 0; key < KEYS; key++) {
      requests.add(newRequest(key % 2 == 1));
    }
  }

  private Request newRequest(boolean isIdempotent) {
    KeyPrefix prefix = new KeyPrefix(new VmIncarnation(HOME, incarnation), epoch);
    return new Request(new IdempotencyKey(prefix, "text-" + ++lastKeyNumber), isIdempotent);
  }

  Optional<String> violation() {
    return Optional.ofNullable(violation);
  }

  void apply(KeyStep step) {
    switch (step) {
      case KeyStep.SendRequest send -> sendRequest(requests.get(send.key()));
      case KeyStep.FinishAttempt finish ->
          finishAttempt(requests.get(finish.key()), finish.result());
      case KeyStep.ReplaceKey replace ->
          requests.set(replace.key(), newRequest(replace.isIdempotent()));
      case KeyStep.AdvanceEpochs advance -> epoch += advance.epochs();
      case KeyStep.RestartHome restart -> restartHome();
    }
  }

  private void sendRequest(Request request) {
    boolean isHome =
        request.key.prefix().home().number() == incarnation
            || fault == KeyFault.IGNORE_INCARNATION_OF_HOME;
    if (isHome && runs(keyStore.claim(request.key, 0, epoch))) {
      if (request.isRunning) {
        countRun(request);
      }
      request.isRunning = true;
      request.history = initialHistory(request);
    }
  }

  private AttemptHistory initialHistory(Request request) {
    return AttemptHistory.initial(request.isIdempotent || fault == KeyFault.RETRY_AS_IDEMPOTENT);
  }

  private boolean runs(KeyClaim claim) {
    return switch (claim) {
      case KeyClaim.Run run -> true;
      case KeyClaim.Wait wait -> fault == KeyFault.RUN_CONCURRENTLY;
      case KeyClaim.Replay replay -> fault == KeyFault.RUN_COMPLETED_KEY;
      case KeyClaim.Forgotten forgotten -> fault == KeyFault.RUN_FORGOTTEN_KEY;
      case KeyClaim.Full full -> false;
      case KeyClaim.Reused reused -> false;
    };
  }

  /**
   * Restarts the home VM. Attempts in flight can no longer be observed, so they are counted as run.
   */
  private void restartHome() {
    for (Request request : requests) {
      if (request.isRunning) {
        countRun(request);
        request.isRunning = false;
      }
    }
    incarnation++;
    keyStore = new IdempotencyKeyStore(LIMITS);
  }

  private void finishAttempt(Request request, KeyStep.AttemptResult result) {
    if (!request.isRunning) {
      return;
    }
    if (result == KeyStep.AttemptResult.ANSWERED || result == KeyStep.AttemptResult.ANSWER_LOST) {
      countRun(request);
    }
    if (result == KeyStep.AttemptResult.ANSWERED) {
      finish(request, new KeyedOutcome.Stored(RESPONSE));
      return;
    }
    AttemptFailure failure = toFailure(result);
    RetryDecision decision = RETRY_POLICY.decide(request.history, failure, true);
    switch (decision) {
      case RetryDecision.Retry retry ->
          request.history =
              fault == KeyFault.IGNORE_EARLIER_ATTEMPTS
                  ? new AttemptHistory(
                      request.isIdempotent, request.history.attempts() + 1, Option.none())
                  : request.history.withFailure(failure);
      case RetryDecision.Finish finish -> finishWithFailure(request, finish.outcome());
    }
  }

  private AttemptFailure toFailure(KeyStep.AttemptResult result) {
    boolean isKnownNotRun =
        result == KeyStep.AttemptResult.REFUSED || fault == KeyFault.LOST_RESPONSE_AS_NOT_RUN;
    return isKnownNotRun
        ? new AttemptFailure.DidNotRun(NotRunReason.ENDPOINT_REFUSED)
        : new AttemptFailure.MayHaveRun(UnknownOutcomeCause.ANSWER_LOST);
  }

  private void finishWithFailure(Request request, Outcome outcome) {
    switch (outcome) {
      case Outcome.NotRun notRun -> {
        if (runs.getOrDefault(request, 0) > 0) {
          violation = request.key + " was reported as not run after it ran";
        }
        finish(request, new KeyedOutcome.DidNotRun(notRun));
      }
      case Outcome.OutcomeUnknown unknown ->
          finish(request, new KeyedOutcome.Unknown(unknown.cause()));
      case Outcome.Responded responded -> throw new IllegalStateException("no response arrived");
    }
  }

  private void finish(Request request, KeyedOutcome outcome) {
    request.isRunning = false;
    if (fault == KeyFault.NONE || isRunningInKeyStore(request)) {
      keyStore.complete(request.key, outcome);
    }
  }

  /**
   * Returns whether the key store holds the request as running. A faulty variant may run requests
   * that the key store does not hold as running.
   */
  private boolean isRunningInKeyStore(Request request) {
    return keyStore.claim(request.key, 0, 0) instanceof KeyClaim.Wait;
  }

  private void countRun(Request request) {
    int count = runs.merge(request, 1, Integer::sum);
    if (count > 1 && !request.isIdempotent) {
      violation = request.key + " ran " + count + " times";
    }
  }
}
