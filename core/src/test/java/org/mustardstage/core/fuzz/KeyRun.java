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

/** Applies steps to the home of some keys, and counts the runs of each key. */
final class KeyRun {
  static final int KEYS = 5;
  private static final VmId HOME = new VmId("home");
  private static final IdempotencyKeyStoreLimits LIMITS =
      new IdempotencyKeyStoreLimits(4, 4_096, 64, 3);
  private static final RetryPolicy RULE = new RetryPolicy(3, 100);
  private static final StoredResponse ANSWER =
      new StoredResponse(200, List.of(), new StoredResponse.Body(new byte[8]));

  private final KeyFault fault;
  private final List<Request> requests = new ArrayList<>();
  private final Map<Request, Integer> runs = new HashMap<>();
  private IdempotencyKeyStore memory = new IdempotencyKeyStore(LIMITS);
  private long incarnation = 1;
  private long epoch;
  private long lastText;
  private String violation;

  /** The request of one key: all that its caller sends is the same. */
  private static final class Request {
    final IdempotencyKey key;
    final boolean isIdempotent;
    AttemptHistory history;
    boolean isUnderWay;

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
    return new Request(new IdempotencyKey(prefix, "text-" + ++lastText), isIdempotent);
  }

  Optional<String> violation() {
    return Optional.ofNullable(violation);
  }

  void apply(KeyStep step) {
    switch (step) {
      case KeyStep.Send send -> send(requests.get(send.key()));
      case KeyStep.End end -> end(requests.get(end.key()), end.end());
      case KeyStep.NewKey fresh -> requests.set(fresh.key(), newRequest(fresh.isIdempotent()));
      case KeyStep.Pass pass -> epoch += pass.epochs();
      case KeyStep.Restart restart -> restart();
    }
  }

  private void send(Request request) {
    boolean isHome =
        request.key.prefix().home().number() == incarnation
            || fault == KeyFault.HOME_IGNORES_INCARNATION;
    if (isHome && runs(memory.claim(request.key, 0, epoch))) {
      if (request.isUnderWay) {
        countRun(request);
      }
      request.isUnderWay = true;
      request.history = noHistory(request);
    }
  }

  private AttemptHistory noHistory(Request request) {
    return AttemptHistory.initial(request.isIdempotent || fault == KeyFault.RETRY_AS_IDEMPOTENT);
  }

  private boolean runs(KeyClaim claim) {
    return switch (claim) {
      case KeyClaim.Run run -> true;
      case KeyClaim.Wait wait -> fault == KeyFault.RUN_WHILE_RUNNING;
      case KeyClaim.Replay replay -> fault == KeyFault.SECOND_RUN_ON_RETRY;
      case KeyClaim.Forgotten forgotten -> fault == KeyFault.RUN_FORGOTTEN_KEY;
      case KeyClaim.Full full -> false;
      case KeyClaim.Reused reused -> false;
    };
  }

  /** A process that ends leaves the tries at the endpoints to themselves. */
  private void restart() {
    for (Request request : requests) {
      if (request.isUnderWay) {
        countRun(request);
        request.isUnderWay = false;
      }
    }
    incarnation++;
    memory = new IdempotencyKeyStore(LIMITS);
  }

  private void end(Request request, KeyStep.TryEnd end) {
    if (!request.isUnderWay) {
      return;
    }
    if (end == KeyStep.TryEnd.ANSWERED || end == KeyStep.TryEnd.ANSWER_LOST) {
      countRun(request);
    }
    if (end == KeyStep.TryEnd.ANSWERED) {
      finish(request, new KeyedOutcome.Stored(ANSWER));
      return;
    }
    AttemptFailure attemptEnd = seenAs(end);
    RetryDecision decision = RULE.decide(request.history, attemptEnd, true);
    switch (decision) {
      case RetryDecision.Retry again ->
          request.history =
              fault == KeyFault.FORGET_EARLIER_TRIES
                  ? new AttemptHistory(
                      request.isIdempotent, request.history.attempts() + 1, Option.none())
                  : request.history.withFailure(attemptEnd);
      case RetryDecision.Finish giveUp -> giveUp(request, giveUp.outcome());
    }
  }

  private AttemptFailure seenAs(KeyStep.TryEnd end) {
    boolean isKnownNotRun =
        end == KeyStep.TryEnd.REFUSED || fault == KeyFault.LOST_ANSWER_DID_NOT_RUN;
    return isKnownNotRun
        ? new AttemptFailure.DidNotRun(NotRunReason.ENDPOINT_REFUSED)
        : new AttemptFailure.MayHaveRun(UnknownOutcomeCause.ANSWER_LOST);
  }

  private void giveUp(Request request, Outcome outcome) {
    switch (outcome) {
      case Outcome.NotRun notRun -> {
        if (runs.getOrDefault(request, 0) > 0) {
          violation = request.key + " was told not run after it ran";
        }
        finish(request, new KeyedOutcome.DidNotRun(notRun));
      }
      case Outcome.OutcomeUnknown unknown ->
          finish(request, new KeyedOutcome.Unknown(unknown.cause()));
      case Outcome.Responded answered -> throw new IllegalStateException("no answer arrived");
    }
  }

  private void finish(Request request, KeyedOutcome end) {
    request.isUnderWay = false;
    if (fault == KeyFault.NONE || isRunningInMemory(request)) {
      memory.complete(request.key, end);
    }
  }

  /** A faulty variant may run what its memory does not know as running. */
  private boolean isRunningInMemory(Request request) {
    return memory.claim(request.key, 0, 0) instanceof KeyClaim.Wait;
  }

  private void countRun(Request request) {
    int count = runs.merge(request, 1, Integer::sum);
    if (count > 1 && !request.isIdempotent) {
      violation = request.key + " ran " + count + " times";
    }
  }
}
