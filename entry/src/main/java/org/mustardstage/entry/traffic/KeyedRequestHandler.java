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

/**
 * Runs non-idempotent requests with an idempotency key at most once. Each of them runs at the home
 * VM of its key, which is the entry VM that issued the key's prefix.
 */
final class KeyedRequestHandler {
  private static final HashFunction DIGEST = Hashing.farmHashFingerprint64();

  private final TrafficThread thread;
  private final IdempotencyKeyRegistry keyRegistry;
  private final KeyHomeLocator homeLocator;
  private final HomeVmForwarder forwarder;

  KeyedRequestHandler(
      TrafficThread thread, IdempotencyKeyRegistry keyRegistry, KeyHomeLocator homeLocator) {
    this.thread = thread;
    this.keyRegistry = keyRegistry;
    this.homeLocator = homeLocator;
    this.forwarder = new HomeVmForwarder(thread);
  }

  /**
   * Runs the request here if this VM is the home of its key, otherwise forwards it there.
   *
   * @param forwarded whether another entry VM forwarded the request to this one
   */
  Promise<HttpResponse> run(
      CallerRequest request, IdempotencyKey key, CallerConnection connection, boolean forwarded) {
    VmIncarnation home = key.prefix().home();
    if (home.equals(thread.snapshot().self())) {
      return keyRegistry.wasIssued(key)
          ? runLocally(request, key, connection)
          : Promise.of(thread.responses().notRun(BadRequest.MALFORMED_KEY));
    }
    Optional<HostAndPort> address =
        forwarded ? Optional.empty() : homeLocator.findTrafficAddress(home);
    if (address.isEmpty()) {
      return Promise.of(unknown(UnknownOutcomeCause.KEY_HOME_GONE));
    }
    return forwarder.forward(request, address.get(), connection);
  }

  private Promise<HttpResponse> runLocally(
      CallerRequest request, IdempotencyKey key, CallerConnection connection) {
    SettablePromise<KeyedOutcome> firstOutcome = new SettablePromise<>();
    KeyClaim claim =
        keyRegistry.claim(
            key,
            digestOf(request),
            outcome -> thread.reactor().execute(() -> firstOutcome.trySet(outcome)));
    return switch (claim) {
      case KeyClaim.Run run -> runFirst(request, key, connection);
      case KeyClaim.Wait wait -> awaitFirst(firstOutcome, request);
      case KeyClaim.Replay replay -> Promise.of(replayed(replay.outcome()));
      case KeyClaim.Forgotten forgotten -> Promise.of(unknown(UnknownOutcomeCause.KEY_FORGOTTEN));
      case KeyClaim.Full full -> Promise.of(thread.responses().failed(keyStoreFull()));
      case KeyClaim.Reused reused -> Promise.of(thread.responses().notRun(BadRequest.KEY_REUSED));
    };
  }

  /**
   * Runs the first request with a key. It keeps running if its caller disconnects, as a retry with
   * the same key gets its response.
   */
  private Promise<HttpResponse> runFirst(
      CallerRequest request, IdempotencyKey key, CallerConnection connection) {
    return new Exchange(thread, request)
        .start()
        .map(
            outcome -> {
              keyRegistry.complete(key, toKeyedOutcome(outcome));
              return thread.responses().fromOutcome(outcome, connection);
            });
  }

  /** Waits for the outcome of the first request with the same key, until the deadline. */
  private Promise<HttpResponse> awaitFirst(
      SettablePromise<KeyedOutcome> firstOutcome, CallerRequest request) {
    long remainingNanos = request.deadlineNanos() - System.nanoTime();
    KeyedOutcome deadlinePassed =
        new KeyedOutcome.Unknown(UnknownOutcomeCause.DEADLINE_PASSED_IN_FLIGHT);
    ScheduledRunnable timer =
        thread
            .reactor()
            .delay(
                Math.max(0, TimeUnit.NANOSECONDS.toMillis(remainingNanos)),
                () -> firstOutcome.trySet(deadlinePassed));
    return firstOutcome.map(
        outcome -> {
          timer.cancel();
          return replayed(outcome);
        });
  }

  private HttpResponse replayed(KeyedOutcome outcome) {
    return switch (outcome) {
      case KeyedOutcome.Stored stored -> thread.responses().replayed(stored.response());
      case KeyedOutcome.NotStored notStored -> unknown(UnknownOutcomeCause.ANSWER_NOT_KEPT);
      case KeyedOutcome.DidNotRun didNotRun -> thread.responses().failed(didNotRun.outcome());
      case KeyedOutcome.Unknown unknown -> unknown(unknown.cause());
    };
  }

  private HttpResponse unknown(UnknownOutcomeCause cause) {
    return thread.responses().failed(new OutcomeUnknown(cause));
  }

  private Outcome keyStoreFull() {
    long retryAfterMillis = thread.limits().retryPolicy().retryAfterMillis();
    return new NotRun(NotRunReason.KEY_MEMORY_FULL, retryAfterMillis);
  }

  private static KeyedOutcome toKeyedOutcome(ExchangeOutcome outcome) {
    return switch (outcome) {
      case ExchangeOutcome.Responded responded -> toKeyedOutcome(responded.response());
      case ExchangeOutcome.Failed failed ->
          switch (failed.outcome()) {
            case NotRun notRun -> new KeyedOutcome.DidNotRun(notRun);
            case OutcomeUnknown unknown -> new KeyedOutcome.Unknown(unknown.cause());
            case Outcome.Responded responded -> new KeyedOutcome.NotStored();
          };
    };
  }

  private static KeyedOutcome toKeyedOutcome(EndpointResponse response) {
    return switch (response.body()) {
      case Body.Buffered buffered ->
          new KeyedOutcome.Stored(
              new StoredResponse(
                  response.status(),
                  response.headers().toStoredHeaders(),
                  new StoredResponse.Body(buffered.bytes())));
      case Body.Streamed streamed -> new KeyedOutcome.NotStored();
    };
  }

  private static long digestOf(CallerRequest request) {
    Hasher hasher = DIGEST.newHasher();
    hasher.putString(request.service().value(), StandardCharsets.UTF_8);
    hasher.putString(request.method().name(), StandardCharsets.UTF_8);
    hasher.putString(request.pathAndQuery(), StandardCharsets.UTF_8);
    if (request.body() instanceof Body.Buffered buffered) {
      hasher.putBytes(buffered.bytes());
    }
    return hasher.hash().asLong();
  }
}
