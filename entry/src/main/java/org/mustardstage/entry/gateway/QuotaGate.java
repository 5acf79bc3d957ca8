package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import io.activej.eventloop.Eventloop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.quota.QuotaAction;
import org.mustardstage.core.quota.QuotaDecision;
import org.mustardstage.core.quota.QuotaMessage;
import org.mustardstage.core.quota.QuotaPermit;
import org.mustardstage.core.quota.QuotaStatus;
import org.mustardstage.core.quota.TenantQuotas;
import org.mustardstage.core.tenant.TenantDirectory;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/**
 * Gives the attempts of tenants' requests their permits. Used on the traffic thread only, so that
 * an attempt for which this VM holds a permit is sent without a change of threads. Does nothing
 * while no tenant has a quota.
 *
 * <p>An attempt that waits for a permit is told the decision in a task of its own, never while
 * another request acquires or gives back one.
 */
final class QuotaGate {
  private static final long TICK_MILLIS = 50;
  private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final Eventloop eventloop;
  private final LongSupplier clock;
  private final TenantQuotas quotas;
  private final Map<Long, Consumer<QuotaDecision>> waiting = new HashMap<>();
  private final Map<TenantName, Refusals> refusals = new HashMap<>();
  private Consumer<List<QuotaAction.Send>> sender = messages -> {};
  private long nextRequestId = 1;
  private boolean ticking;
  private boolean owning;

  /** The refusals of a tenant's requests since the last log line. */
  private static final class Refusals {
    private long loggedNanos;
    private long exhausted;
    private long unknown;
  }

  QuotaGate(GatewaySettings settings, Eventloop eventloop, LongSupplier clock) {
    this.eventloop = eventloop;
    this.clock = clock;
    this.quotas =
        new TenantQuotas(
            settings.vm(),
            settings.quotas(),
            clock.getAsLong(),
            ThreadLocalRandom.current().nextLong());
  }

  /** Sets what sends messages to other VMs. */
  void setSender(Consumer<List<QuotaAction.Send>> newSender) {
    sender = newSender;
  }

  /** Replaces the tenants, as a version of the configuration became active. */
  void setTenants(TenantDirectory tenants) {
    quotas.setTenants(clock.getAsLong(), tenants);
    startTicking();
  }

  /** Replaces the view of the VMs. */
  void setMembers(MemberView view) {
    quotas.setMembers(clock.getAsLong(), view);
  }

  /** Records how many VMs the platform lists, this one included. */
  void setListedVms(int count) {
    quotas.setListedVms(count);
  }

  /** Applies a message of another VM. */
  void applyMessage(VmId from, QuotaMessage message) {
    quotas.applyMessage(clock.getAsLong(), from, message);
    executeActions();
  }

  /** Returns whether the requests of {@code tenant} need permits. */
  boolean hasQuota(TenantName tenant) {
    return quotas.hasQuota(tenant);
  }

  /**
   * Asks for a permit of a tenant with a quota. {@code onDecision} may be called before this method
   * returns, or later.
   *
   * @return cancels the wait
   */
  Runnable acquire(TenantName tenant, Consumer<QuotaDecision> onDecision) {
    long id = nextRequestId++;
    Optional<QuotaDecision> decision = quotas.acquire(clock.getAsLong(), id, tenant);
    if (decision.isEmpty()) {
      waiting.put(
          id,
          decided -> {
            recordRefusal(tenant, decided);
            onDecision.accept(decided);
          });
    }
    executeActions();
    decision.ifPresent(
        decided -> {
          recordRefusal(tenant, decided);
          onDecision.accept(decided);
        });
    return () -> {
      if (waiting.remove(id) != null) {
        quotas.cancel(id, tenant);
      }
    };
  }

  /** Returns whether an attempt may still be sent by {@code permit}. */
  boolean isValid(QuotaPermit permit) {
    return clock.getAsLong() - permit.expiresNanos() < 0;
  }

  /** Takes back the permit of an attempt that surely did not run. */
  void putBack(QuotaPermit permit) {
    quotas.putBack(clock.getAsLong(), permit);
    executeActions();
  }

  /** Returns what this VM knows of the quotas, for operators. */
  ImmutableList<QuotaStatus> status() {
    return quotas.status(clock.getAsLong());
  }

  private void executeActions() {
    ImmutableList<QuotaAction> actions = quotas.takeActions();
    if (actions.isEmpty()) {
      return;
    }
    ImmutableList.Builder<QuotaAction.Send> messages = ImmutableList.builder();
    for (QuotaAction action : actions) {
      switch (action) {
        case QuotaAction.Send send -> messages.add(send);
        case QuotaAction.Decide decide -> eventloop.postLast(() -> deliver(decide));
      }
    }
    ImmutableList<QuotaAction.Send> toSend = messages.build();
    if (!toSend.isEmpty()) {
      sender.accept(toSend);
    }
  }

  private void deliver(QuotaAction.Decide decide) {
    Consumer<QuotaDecision> onDecision = waiting.remove(decide.requestId());
    if (onDecision != null) {
      onDecision.accept(decide.decision());
    } else if (decide.decision() instanceof QuotaDecision.Granted granted) {
      putBack(granted.permit());
    }
  }

  private void startTicking() {
    if (!ticking && quotas.isActive()) {
      ticking = true;
      eventloop.delayBackground(TICK_MILLIS, this::tick);
    }
  }

  private void tick() {
    ticking = false;
    startTicking();
    quotas.tick(clock.getAsLong());
    executeActions();
    logOwnership();
    refusals.forEach(this::logRefusals);
  }

  private void logOwnership() {
    boolean ownsNow = quotas.ownsAny();
    if (ownsNow != owning) {
      owning = ownsNow;
      EventLog.log(Event.QUOTA_OWNERSHIP_CHANGED, "shares", quotas.ownedShares());
    }
  }

  private void recordRefusal(TenantName tenant, QuotaDecision decision) {
    switch (decision) {
      case QuotaDecision.Granted granted -> {}
      case QuotaDecision.Exhausted exhausted -> refusalsOf(tenant).exhausted++;
      case QuotaDecision.Unknown unknown -> refusalsOf(tenant).unknown++;
    }
  }

  private Refusals refusalsOf(TenantName tenant) {
    return refusals.computeIfAbsent(
        tenant,
        name -> {
          Refusals created = new Refusals();
          created.loggedNanos = clock.getAsLong() - LOG_INTERVAL_NANOS;
          return created;
        });
  }

  private void logRefusals(TenantName tenant, Refusals refused) {
    long nowNanos = clock.getAsLong();
    boolean due = nowNanos - refused.loggedNanos >= LOG_INTERVAL_NANOS;
    if (!due || refused.exhausted + refused.unknown == 0) {
      return;
    }
    EventLog.log(
        Event.QUOTA_REFUSED,
        "tenant",
        tenant,
        "exhausted",
        refused.exhausted,
        "unknown",
        refused.unknown,
        "shares",
        quotas.ownedShares());
    refused.loggedNanos = nowNanos;
    refused.exhausted = 0;
    refused.unknown = 0;
  }
}
