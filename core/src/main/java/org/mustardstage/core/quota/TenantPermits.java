package org.mustardstage.core.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.id.VmId;

/**
 * The permits of one tenant that this VM holds, the requests that wait for one, and the questions
 * that are on their way.
 *
 * <p>Handles both ends of load. A VM that sees many requests of a tenant asks for permits ahead of
 * them, so that they don't wait. A VM that sees one in a while asks when it comes; keeping permits
 * for it on each VM would exceed small quotas many times.
 */
final class TenantPermits {
  private static final long LEAD_NANOS = Duration.ofMillis(200).toNanos();
  private static final long ANSWER_TIMEOUT_NANOS = Duration.ofMillis(400).toNanos();
  private static final long MAX_WAIT_NANOS = Duration.ofMillis(900).toNanos();

  /** Permits that are left for less than this are returned, so that they arrive in time. */
  private static final long RETURN_NANOS = Duration.ofMillis(70).toNanos();

  /** For at most this long requests are refused without a question, if the quota is used up. */
  private static final long CLOSED_NANOS = Duration.ofMillis(100).toNanos();

  private static final long MIN_RETRY_NANOS = Duration.ofMillis(5).toNanos();
  private static final long MAX_RETRY_NANOS = Duration.ofSeconds(5).toNanos();
  private static final long UNKNOWN_RETRY_MILLIS = 500;
  private static final int MAX_QUESTIONS = 8;
  private static final int MAX_WAITING = 256;
  private static final double RATE_DECAY_NANOS = 1e9;

  private final TenantName tenant;
  private final QuotaRoles roles;
  private final List<QuotaAction> actions;
  private final Deque<Lease> leases = new ArrayDeque<>();
  private final Map<Long, Question> questions = new LinkedHashMap<>();
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private long lastQuestion;
  private double decayedRequests;
  private long decayedNanos;
  private long closedUntilNanos;

  /** When the quota is expected to allow the next request that is refused now. */
  private long nextRetryNanos;

  private long granted;
  private long exhausted;
  private long unknown;

  private record Waiting(long requestId, long sinceNanos) {}

  private record Question(VmId owner, long sentNanos, int count) {}

  /** Permits of one batch. */
  private static final class Lease {
    private final VmId owner;
    private final long batch;
    private final long expiresNanos;
    private int count;

    Lease(VmId owner, long batch, long expiresNanos, int count) {
      this.owner = owner;
      this.batch = batch;
      this.expiresNanos = expiresNanos;
      this.count = count;
    }
  }

  TenantPermits(long nowNanos, TenantName tenant, QuotaRoles roles, List<QuotaAction> actions) {
    this.tenant = tenant;
    this.roles = roles;
    this.actions = actions;
    this.decayedNanos = nowNanos;
    this.closedUntilNanos = nowNanos;
    this.nextRetryNanos = nowNanos;
  }

  /**
   * Decides whether a request may run; if empty, an action decides it later.
   *
   * @param requestsPerSecond the rate of the quota
   */
  Optional<QuotaDecision> acquire(long nowNanos, long requestId, double requestsPerSecond) {
    decayedRequests = demandPerSecond(nowNanos) + 1;
    decayedNanos = nowNanos;
    Optional<QuotaPermit> permit = waiting.isEmpty() ? takeHeld(nowNanos) : Optional.empty();
    if (permit.isPresent()) {
      granted++;
      askAhead(nowNanos);
      return Optional.of(new QuotaDecision.Granted(permit.get()));
    }
    if (nowNanos - closedUntilNanos < 0 || waiting.size() >= MAX_WAITING) {
      return Optional.of(refuse(nowNanos, requestsPerSecond));
    }
    waiting.addLast(new Waiting(requestId, nowNanos));
    askForWaiting(nowNanos);
    return Optional.empty();
  }

  private double demandPerSecond(long nowNanos) {
    return decayedRequests * Math.exp(-(nowNanos - decayedNanos) / RATE_DECAY_NANOS);
  }

  private Optional<QuotaPermit> takeHeld(long nowNanos) {
    while (!leases.isEmpty()) {
      Lease lease = leases.peekFirst();
      if (lease.count == 0 || nowNanos - lease.expiresNanos >= 0) {
        leases.removeFirst();
        continue;
      }
      lease.count--;
      return Optional.of(new QuotaPermit(tenant, lease.owner, lease.batch, lease.expiresNanos));
    }
    return Optional.empty();
  }

  private int heldCount() {
    return leases.stream().mapToInt(lease -> lease.count).sum();
  }

  private int askedCount() {
    return questions.values().stream().mapToInt(Question::count).sum();
  }

  /** Returns how many permits to hold for the requests that are expected. */
  private int wantedAhead(long nowNanos) {
    return (int) (demandPerSecond(nowNanos) * LEAD_NANOS / 1e9);
  }

  private void askAhead(long nowNanos) {
    int wanted = wantedAhead(nowNanos);
    int available = heldCount() + askedCount();
    boolean isClosed = nowNanos - closedUntilNanos < 0;
    if (!isClosed && available <= wanted / 2 && wanted > 0) {
      ask(nowNanos, wanted - available);
    }
  }

  private void askForWaiting(long nowNanos) {
    int missing = waiting.size() - askedCount();
    if (missing > 0) {
      ask(nowNanos, missing + wantedAhead(nowNanos));
    }
  }

  private void ask(long nowNanos, int count) {
    if (questions.size() >= MAX_QUESTIONS) {
      return;
    }
    VmId owner = roles.owner(nowNanos, QuotaRoles.groupOf(tenant));
    long number = ++lastQuestion;
    questions.put(number, new Question(owner, nowNanos, count));
    actions.add(new QuotaAction.Send(owner, new QuotaMessage.Ask(tenant, number, count)));
  }

  /** Applies the answer of an owner. */
  void applyGrant(long nowNanos, VmId from, QuotaMessage.Grant grant, double requestsPerSecond) {
    Question question = questions.remove(grant.ask());
    if (question == null || !question.owner().equals(from)) {
      giveBack(from, grant.batch(), grant.count());
      return;
    }
    long expiresNanos =
        question.sentNanos() + Duration.ofMillis(Math.max(0, grant.validMillis())).toNanos();
    if (grant.count() > 0) {
      leases.addLast(new Lease(from, grant.batch(), expiresNanos, grant.count()));
    }
    serveWaiting(nowNanos);
    if (grant.count() < question.count()) {
      close(nowNanos, grant.retryAfterMillis());
      while (waiting.size() > askedCount()) {
        decide(waiting.removeFirst(), refuse(nowNanos, requestsPerSecond));
      }
    }
    askForWaiting(nowNanos);
  }

  /** Refuses without questions until the quota may have something left. */
  private void close(long nowNanos, long retryAfterMillis) {
    long retryNanos = Duration.ofMillis(retryAfterMillis).toNanos();
    closedUntilNanos = nowNanos + Math.min(retryNanos, CLOSED_NANOS);
    nextRetryNanos = nowNanos + retryNanos;
  }

  /** Refuses a request; those refused one after the other may come again at the quota's rate. */
  private QuotaDecision refuse(long nowNanos, double requestsPerSecond) {
    exhausted++;
    long retryNanos = Math.max(MIN_RETRY_NANOS, nextRetryNanos - nowNanos);
    nextRetryNanos =
        nowNanos + Math.min(MAX_RETRY_NANOS, retryNanos + (long) (1e9 / requestsPerSecond));
    return new QuotaDecision.Exhausted(retryNanos / 1_000_000);
  }

  private void serveWaiting(long nowNanos) {
    while (!waiting.isEmpty()) {
      Optional<QuotaPermit> permit = takeHeld(nowNanos);
      if (permit.isEmpty()) {
        return;
      }
      granted++;
      decide(waiting.removeFirst(), new QuotaDecision.Granted(permit.get()));
    }
  }

  private void decide(Waiting request, QuotaDecision decision) {
    actions.add(new QuotaAction.Decide(request.requestId(), decision));
  }

  /** Drops a request that no longer waits. */
  void cancel(long requestId) {
    waiting.removeIf(request -> request.requestId() == requestId);
  }

  /** Takes back the permit of an attempt that did not run. */
  void putBack(long nowNanos, QuotaPermit permit) {
    if (nowNanos - permit.expiresNanos() < 0) {
      leases.addFirst(new Lease(permit.owner(), permit.batch(), permit.expiresNanos(), 1));
      serveWaiting(nowNanos);
    }
  }

  /** Repeats questions that were not answered, and returns permits that are about to expire. */
  void tick(long nowNanos) {
    boolean timedOut = false;
    for (Iterator<Question> each = questions.values().iterator(); each.hasNext(); ) {
      Question question = each.next();
      if (nowNanos - question.sentNanos() > ANSWER_TIMEOUT_NANOS) {
        each.remove();
        roles.passOver(nowNanos, question.owner());
        timedOut = true;
      }
    }
    while (!waiting.isEmpty() && nowNanos - waiting.peekFirst().sinceNanos() > MAX_WAIT_NANOS) {
      unknown++;
      decide(waiting.removeFirst(), new QuotaDecision.Unknown(UNKNOWN_RETRY_MILLIS));
    }
    if (timedOut) {
      askForWaiting(nowNanos);
    }
    for (Lease lease : new ArrayList<>(leases)) {
      if (lease.expiresNanos - nowNanos < RETURN_NANOS) {
        giveBack(lease.owner, lease.batch, lease.count);
        leases.remove(lease);
      }
    }
  }

  private void giveBack(VmId owner, long batch, int count) {
    if (count > 0) {
      actions.add(new QuotaAction.Send(owner, new QuotaMessage.Return(tenant, batch, count)));
    }
  }

  /** Returns whether nothing is held, asked or waited for, and no request came lately. */
  boolean isIdle(long nowNanos) {
    return leases.isEmpty()
        && questions.isEmpty()
        && waiting.isEmpty()
        && nowNanos - decayedNanos > CLOSED_NANOS
        && demandPerSecond(nowNanos) < 0.01;
  }

  /** Returns the numbers of this VM, completed with those of an owner if it is one. */
  QuotaStatus status(long nowNanos, QuotaOwner owner) {
    Optional<QuotaBucket> bucket = owner.bucket(tenant);
    return new QuotaStatus(
        tenant,
        roles.owner(nowNanos, QuotaRoles.groupOf(tenant)),
        owner.share(),
        bucket.map(each -> OptionalDouble.of(each.left())).orElse(OptionalDouble.empty()),
        bucket.map(QuotaBucket::handedOutCount).orElse(0),
        heldCount(),
        waiting.size(),
        granted,
        exhausted,
        unknown);
  }
}
