package org.mustardstage.entry.gateway;

import java.util.Optional;
import java.util.function.Consumer;
import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.quota.QuotaDecision;
import org.mustardstage.core.quota.QuotaPermit;

/**
 * The permit for the next attempt of one request; requests without a tenant or a quota need none.
 * While the request is queued for an endpoint, it holds none, as permits last shorter than queues.
 */
final class AttemptPermit {
  private final QuotaGate gate;
  private final Optional<TenantName> tenant;
  private Optional<QuotaPermit> held = Optional.empty();
  private Optional<Wait> wait = Optional.empty();

  /** A wait for a permit, and what is done if it is cancelled. */
  private static final class Wait {
    private final Runnable onCancelled;
    private Runnable canceller = () -> {};

    Wait(Runnable onCancelled) {
      this.onCancelled = onCancelled;
    }
  }

  AttemptPermit(QuotaGate gate, Optional<TenantName> tenant) {
    this.gate = gate;
    this.tenant = tenant;
  }

  /**
   * Acquires a permit, unless one is held or none is needed. Exactly one of the arguments is
   * called, before this method returns or later.
   *
   * @param onCancelled called if {@link #cancel} is called first
   */
  void acquire(
      Runnable onGranted, Consumer<RequestOutcome.NotRun> onRefused, Runnable onCancelled) {
    boolean isValid = held.filter(gate::isValid).isPresent();
    if (isValid || tenant.isEmpty() || !gate.hasQuota(tenant.get())) {
      onGranted.run();
      return;
    }
    held = Optional.empty();
    Wait current = new Wait(onCancelled);
    wait = Optional.of(current);
    current.canceller =
        gate.acquire(
            tenant.get(),
            decision -> {
              wait = Optional.empty();
              onDecision(decision, onGranted, onRefused);
            });
  }

  private void onDecision(
      QuotaDecision decision, Runnable onGranted, Consumer<RequestOutcome.NotRun> onRefused) {
    switch (decision) {
      case QuotaDecision.Granted granted -> {
        held = Optional.of(granted.permit());
        onGranted.run();
      }
      case QuotaDecision.Exhausted exhausted ->
          onRefused.accept(
              new RequestOutcome.NotRun(
                  NotRunReasons.QUOTA_EXHAUSTED, exhausted.retryAfterMillis()));
      case QuotaDecision.Unknown unknown ->
          onRefused.accept(
              new RequestOutcome.NotRun(NotRunReasons.QUOTA_UNKNOWN, unknown.retryAfterMillis()));
    }
  }

  boolean isWaiting() {
    return wait.isPresent();
  }

  /** Takes the permit for an attempt that is sent. */
  Optional<QuotaPermit> take() {
    Optional<QuotaPermit> taken = held;
    held = Optional.empty();
    return taken;
  }

  /** Gives back the permit that is held, as no attempt is sent now. */
  void putBack() {
    take().ifPresent(gate::putBack);
  }

  /** Gives back the permit of an attempt that surely did not run. */
  void putBack(Optional<QuotaPermit> taken) {
    taken.ifPresent(gate::putBack);
  }

  /** Ends a wait and gives back what is held. */
  void cancel() {
    putBack();
    Optional<Wait> cancelled = wait;
    wait = Optional.empty();
    cancelled.ifPresent(
        current -> {
          current.canceller.run();
          current.onCancelled.run();
        });
  }
}
