package org.mustardstage.standins.load;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.Reactor;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Sends a request and retries it until it gets a response, its deadline is near, or the maximum
 * number of attempts is reached. An attempt that was not run is always safe to retry; one with an
 * unknown result is safe because the call is idempotent or all attempts carry the same idempotency
 * key. The outcome is "not run" only if no attempt has an unknown result.
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
  private final List<HostAndPort> entryVmsToAvoid = new ArrayList<>();
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

  /** Returns the number of attempts so far. */
  int attempts() {
    return attempts;
  }

  /** Makes the next attempt and its retries; the promise never fails. */
  Promise<RequestOutcome> start() {
    return caller
        .lookup(request.service())
        .then(
            lookup ->
                lookup.isPresent()
                    ? attempt(lookup.get())
                    : Promise.of(outcomeWithoutResponse(NO_LOOKUP)));
  }

  private Promise<RequestOutcome> attempt(LookupResponse lookup) {
    attempts++;
    if (!request.call().idempotent() && request.idempotencyKey().isEmpty()) {
      request = request.withKey(lookup.keyPrefix() + "/" + request.token());
    }
    HostAndPort entryVm = lookup.chooseEntryVm(caller.random(), entryVmsToAvoid);
    return client
        .send(entryVm, request, Math.max(1, remainingMillis()))
        .then(result -> handleResult(entryVm, result));
  }

  private Promise<RequestOutcome> handleResult(HostAndPort entryVm, AttemptResult result) {
    return switch (result) {
      case AttemptResult.Responded responded -> Promise.of(toOutcome(responded));
      case AttemptResult.NotRun notRun -> retry(notRun.code(), notRun.retryAfterMillis());
      case AttemptResult.ConnectFailed ignored -> {
        entryVmsToAvoid.add(entryVm);
        caller.invalidateLookup(request.service());
        yield retry(NO_CONNECTION, 0);
      }
      case AttemptResult.Unknown unknown -> {
        unknownCode = Optional.of(unknown.code());
        entryVmsToAvoid.add(entryVm);
        caller.invalidateLookup(request.service());
        yield retry(unknown.code(), 0);
      }
    };
  }

  private RequestOutcome toOutcome(AttemptResult.Responded responded) {
    return responded.status() == OK
        ? new RequestOutcome.Responded(responded.bodyMatchesRequest())
        : new RequestOutcome.FailedByEndpoint(responded.status());
  }

  private Promise<RequestOutcome> retry(String code, long delayMillis) {
    return attempts >= maxAttempts || remainingMillis() <= delayMillis
        ? Promise.of(outcomeWithoutResponse(code))
        : Promises.delay(reactor, delayMillis).then(this::start);
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
