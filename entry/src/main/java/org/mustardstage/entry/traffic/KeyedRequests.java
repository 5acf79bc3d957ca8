package org.mustardstage.entry.traffic;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.outcome.BadRequest;
import org.mustardstage.core.outcome.IdempotencyKey;
import org.mustardstage.core.outcome.KeyClaim;
import org.mustardstage.core.outcome.KeyedOutcome;
import org.mustardstage.core.outcome.NotRunReason;
import org.mustardstage.core.outcome.Outcome;
import org.mustardstage.core.outcome.Outcome.NotRun;
import org.mustardstage.core.outcome.Outcome.OutcomeUnknown;
import org.mustardstage.core.outcome.StoredResponse;
import org.mustardstage.core.outcome.UnknownOutcomeCause;

/** Runs requests with an idempotency key at most once, at the home of the key. */
final class KeyedRequests {
  private static final HashFunction DIGEST = Hashing.farmHashFingerprint64();

  private final TrafficThread thread;
  private final KeyHome keyHome;
  private final KeyHomeLocator router;
  private final Relay relay;

  KeyedRequests(TrafficThread thread, KeyHome keyHome, KeyHomeLocator router) {
    this.thread = thread;
    this.keyHome = keyHome;
    this.router = router;
    this.relay = new Relay(thread);
  }

  /**
   * Runs the request here when this is the home of its key, else passes it on.
   *
   * @param passedOn whether another entry VM passed the request on to this one
   */
  Promise<HttpResponse> run(
      CallerRequest request, IdempotencyKey key, CallerConnection connection, boolean passedOn) {
    VmIncarnation home = key.prefix().home();
    if (home.equals(thread.snapshot().self())) {
      return keyHome.wasIssued(key)
          ? runAtHome(request, key, connection)
          : Promise.of(thread.answers().notRun(BadRequest.MALFORMED_KEY));
    }
    Optional<HostAndPort> address = passedOn ? Optional.empty() : router.findTrafficAddress(home);
    if (address.isEmpty()) {
      return Promise.of(unknown(UnknownOutcomeCause.KEY_HOME_GONE));
    }
    return relay.passOn(request, address.get(), connection);
  }

  private Promise<HttpResponse> runAtHome(
      CallerRequest request, IdempotencyKey key, CallerConnection connection) {
    SettablePromise<KeyedOutcome> earlier = new SettablePromise<>();
    KeyClaim claim =
        keyHome.claim(
            key, digestOf(request), end -> thread.reactor().execute(() -> earlier.trySet(end)));
    return switch (claim) {
      case KeyClaim.Run run -> runFirst(request, key, connection);
      case KeyClaim.Wait wait -> waitFor(earlier, request);
      case KeyClaim.Replay replay -> Promise.of(replayed(replay.outcome()));
      case KeyClaim.Forgotten forgotten -> Promise.of(unknown(UnknownOutcomeCause.KEY_FORGOTTEN));
      case KeyClaim.Full full -> Promise.of(thread.answers().failed(memoryFull()));
      case KeyClaim.Reused reused -> Promise.of(thread.answers().notRun(BadRequest.KEY_REUSED));
    };
  }

  /** The request goes on when its caller leaves: a retry with the same key gets its answer. */
  private Promise<HttpResponse> runFirst(
      CallerRequest request, IdempotencyKey key, CallerConnection connection) {
    return new Exchange(thread, request)
        .start()
        .map(
            result -> {
              keyHome.finish(key, toEnd(result));
              return thread.answers().of(result, connection);
            });
  }

  private Promise<HttpResponse> waitFor(
      SettablePromise<KeyedOutcome> earlier, CallerRequest request) {
    long leftNanos = request.deadlineNanos() - System.nanoTime();
    KeyedOutcome tooLate = new KeyedOutcome.Unknown(UnknownOutcomeCause.DEADLINE_PASSED_IN_FLIGHT);
    ScheduledRunnable timer =
        thread
            .reactor()
            .delay(
                Math.max(0, TimeUnit.NANOSECONDS.toMillis(leftNanos)),
                () -> earlier.trySet(tooLate));
    return earlier.map(
        end -> {
          timer.cancel();
          return replayed(end);
        });
  }

  private HttpResponse replayed(KeyedOutcome end) {
    return switch (end) {
      case KeyedOutcome.Stored kept -> thread.answers().replayed(kept.response());
      case KeyedOutcome.NotStored notKept -> unknown(UnknownOutcomeCause.ANSWER_NOT_KEPT);
      case KeyedOutcome.DidNotRun didNotRun -> thread.answers().failed(didNotRun.outcome());
      case KeyedOutcome.Unknown unknown -> unknown(unknown.cause());
    };
  }

  private HttpResponse unknown(UnknownOutcomeCause cause) {
    return thread.answers().failed(new OutcomeUnknown(cause));
  }

  private Outcome memoryFull() {
    long retryAfterMillis = thread.limits().retryRule().retryAfterMillis();
    return new NotRun(NotRunReason.KEY_MEMORY_FULL, retryAfterMillis);
  }

  private static KeyedOutcome toEnd(ExchangeResult result) {
    return switch (result) {
      case ExchangeResult.Answered answered -> toEnd(answered.answer());
      case ExchangeResult.Failed failed ->
          switch (failed.outcome()) {
            case NotRun notRun -> new KeyedOutcome.DidNotRun(notRun);
            case OutcomeUnknown unknown -> new KeyedOutcome.Unknown(unknown.cause());
            case Outcome.Responded answered -> new KeyedOutcome.NotStored();
          };
    };
  }

  private static KeyedOutcome toEnd(EndpointAnswer answer) {
    return switch (answer.body()) {
      case Body.Held held ->
          new KeyedOutcome.Stored(
              new StoredResponse(
                  answer.status(),
                  answer.headers().toRemembered(),
                  new StoredResponse.Body(held.bytes())));
      case Body.Streamed streamed -> new KeyedOutcome.NotStored();
    };
  }

  private static long digestOf(CallerRequest request) {
    Hasher hasher = DIGEST.newHasher();
    hasher.putString(request.service().value(), StandardCharsets.UTF_8);
    hasher.putString(request.method().name(), StandardCharsets.UTF_8);
    hasher.putString(request.pathAndQuery(), StandardCharsets.UTF_8);
    if (request.body() instanceof Body.Held held) {
      hasher.putBytes(held.bytes());
    }
    return hasher.hash().asLong();
  }
}
