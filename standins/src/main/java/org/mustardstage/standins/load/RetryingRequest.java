package org.mustardstage.standins.load;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.Reactor;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Sends a request until it is answered: after a try that was not run, and for idempotent calls or
 * under the same idempotency key after any other. A request counts as not run only if every try of
 * it was.
 */
final class RetryingRequest {
  private static final int OK = 200;
  private static final String NO_LOOKUP = "no-lookup-answer";
  private static final String NO_CONNECTION = "no-connection";

  private final Reactor reactor;
  private final EntryVmClient client;
  private final Caller caller;
  private final long deadlineMillis;
  private final int maxAttempts;
  private final List<HostAndPort> failedEntryVms = new ArrayList<>();
  private PlannedRequest request;
  private Optional<String> unknownCode = Optional.empty();
  private int attempts;

  RetryingRequest(
      Reactor reactor,
      EntryVmClient client,
      Caller caller,
      PlannedRequest request,
      int maxAttempts) {
    this.reactor = reactor;
    this.client = client;
    this.caller = caller;
    this.request = request;
    this.maxAttempts = maxAttempts;
    this.deadlineMillis = reactor.currentTimeMillis() + request.call().deadlineMillis();
  }

  /** Returns the number of tries so far. */
  int attempts() {
    return attempts;
  }

  /** Sends the request; the promise never fails. */
  Promise<RequestOutcome> start() {
    return caller
        .lookup(request.service())
        .then(
            answer ->
                answer.isPresent() ? attempt(answer.get()) : Promise.of(outcomeWithoutResponse(NO_LOOKUP)));
  }

  private Promise<RequestOutcome> attempt(LookupResponse answer) {
    attempts++;
    if (!request.call().idempotent() && request.idempotencyKey().isEmpty()) {
      request = request.withKey(answer.keyPrefix() + "/" + request.token());
    }
    HostAndPort entryVm = answer.chooseEntryVm(caller.random(), failedEntryVms);
    return client
        .send(entryVm, request, Math.max(1, remainingMillis()))
        .then(result -> handleResult(entryVm, result));
  }

  private Promise<RequestOutcome> handleResult(HostAndPort entryVm, AttemptResult result) {
    return switch (result) {
      case AttemptResult.Responded answered -> Promise.of(toOutcome(answered));
      case AttemptResult.NotRun notRun -> retry(notRun.code(), notRun.retryAfterMillis());
      case AttemptResult.ConnectFailed ignored -> {
        failedEntryVms.add(entryVm);
        caller.invalidateLookup(request.service());
        yield retry(NO_CONNECTION, 0);
      }
      case AttemptResult.Unknown unknown -> {
        unknownCode = Optional.of(unknown.code());
        failedEntryVms.add(entryVm);
        caller.invalidateLookup(request.service());
        yield retry(unknown.code(), 0);
      }
    };
  }

  private RequestOutcome toOutcome(AttemptResult.Responded answer) {
    return answer.status() == OK
        ? new RequestOutcome.Responded(answer.bodyMatchesRequest())
        : new RequestOutcome.FailedByEndpoint(answer.status());
  }

  private Promise<RequestOutcome> retry(String code, long waitMillis) {
    return attempts >= maxAttempts || remainingMillis() <= waitMillis
        ? Promise.of(outcomeWithoutResponse(code))
        : Promises.delay(reactor, waitMillis).then(this::start);
  }

  private RequestOutcome outcomeWithoutResponse(String code) {
    return unknownCode
        .<RequestOutcome>map(RequestOutcome.Unknown::new)
        .orElseGet(() -> new RequestOutcome.NotRun(code));
  }

  private long remainingMillis() {
    return deadlineMillis - reactor.currentTimeMillis();
  }
}
