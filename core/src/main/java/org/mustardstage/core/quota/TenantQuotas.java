package org.mustardstage.core.quota;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.MembershipSettings;
import org.mustardstage.core.tenant.Tenant;
import org.mustardstage.core.tenant.TenantDirectory;
import org.mustardstage.core.tenant.TenantQuota;

/**
 * Decides on this VM which attempts of tenants' requests may run, so that each tenant's requests on
 * all VMs together stay within its quota, and requests within it are not refused wherever they
 * arrive.
 *
 * <p>Each VM has an equal share of all quotas and lends it to the collector of its zone, which
 * lends the shares of the zone to the owner of each group of tenants. An owner hands out permits in
 * proportion to the shares that are lent to it; VMs ask it. Shares and permits end by themselves
 * after a time, so that none is used twice, whatever becomes of VMs, links and messages.
 */
public final class TenantQuotas {
  /** How long shares are lent to the owner of a group. */
  static final long OWNER_LOAN_NANOS = Duration.ofMillis(1_200).toNanos();

  /**
   * How long a VM lends its share to the collector, which passes on only what is lent to it for
   * longer than it lends itself.
   */
  static final long COLLECTOR_LOAN_NANOS = 2 * OWNER_LOAN_NANOS;

  private final VmId self;
  private final QuotaSettings settings;
  private final long createdNanos;
  private final long firstMark;
  private final QuotaRoles roles;
  private final BorrowedShares collected;
  private final ShareLoan ownLoan = new ShareLoan(COLLECTOR_LOAN_NANOS);
  private final Map<Integer, ShareLoan> zoneLoans = new HashMap<>();
  private final Map<Integer, QuotaOwner> owners = new HashMap<>();
  private final Map<TenantName, TenantPermits> permits = new HashMap<>();
  private ImmutableMap<TenantName, TenantQuota> quotas = ImmutableMap.of();

  /** Zero until the platform's list has been read. */
  private int listedVms;

  /** Shared with {@link TenantPermits}; emptied by {@link #takeActions}. */
  private final List<QuotaAction> actions = new ArrayList<>();

  /**
   * Creates the quotas of a VM that has just started.
   *
   * @param firstMark a random number, so that marks of an earlier run are unknown
   */
  public TenantQuotas(VmId self, QuotaSettings settings, long nowNanos, long firstMark) {
    this.self = self;
    this.settings = settings;
    this.createdNanos = nowNanos;
    this.firstMark = Math.max(1, firstMark >>> 2);
    this.roles = new QuotaRoles(self);
    this.collected = new BorrowedShares(COLLECTOR_LOAN_NANOS, this.firstMark);
  }

  /** Replaces the view of the VMs. */
  public void setMembers(long nowNanos, MemberView view) {
    roles.setMembers(nowNanos, view);
  }

  /**
   * Records how many VMs the platform lists, this one included. A VM that has just started can use
   * its share sooner by that, as no VM is missing.
   */
  public void setListedVms(int count) {
    listedVms = count;
  }

  /** Replaces the tenants. */
  public void setTenants(long nowNanos, TenantDirectory tenants) {
    ImmutableMap.Builder<TenantName, TenantQuota> limited = ImmutableMap.builder();
    for (Tenant tenant : tenants.tenants().values()) {
      tenant.quota().ifPresent(quota -> limited.put(tenant.name(), quota));
    }
    quotas = limited.buildOrThrow();
    int knownVms = knownVms(nowNanos);
    owners.values().forEach(owner -> owner.setQuotas(nowNanos, knownVms, quotas));
  }

  /** Returns whether any tenant has or had a quota; if not, nothing needs to be done. */
  public boolean isActive() {
    return !quotas.isEmpty() || !permits.isEmpty();
  }

  /** Returns whether the requests of a tenant need permits. */
  public boolean hasQuota(TenantName tenant) {
    return quotas.containsKey(tenant);
  }

  /**
   * Decides whether an attempt of a request may run. If empty, {@link QuotaAction.Decide} tells it
   * within a second; the attempt can be dropped by {@link #cancel}. The tenant must have a quota.
   */
  public Optional<QuotaDecision> acquire(long nowNanos, long requestId, TenantName tenant) {
    TenantPermits own =
        permits.computeIfAbsent(tenant, name -> new TenantPermits(nowNanos, name, roles, actions));
    Optional<QuotaDecision> decision =
        own.acquire(nowNanos, requestId, quotas.get(tenant).requestsPerSecond());
    if (decision.isPresent()) {
      deliverOwn(nowNanos);
      return decision;
    }
    deliverOwn(nowNanos);
    return takeDecision(requestId);
  }

  /** Takes the decision of a request that the owner on this VM has just made, if any. */
  private Optional<QuotaDecision> takeDecision(long requestId) {
    for (QuotaAction action : actions) {
      if (action instanceof QuotaAction.Decide decide && decide.requestId() == requestId) {
        actions.remove(action);
        return Optional.of(decide.decision());
      }
    }
    return Optional.empty();
  }

  /** Drops a request that waits for a permit. */
  public void cancel(long requestId, TenantName tenant) {
    TenantPermits own = permits.get(tenant);
    if (own != null) {
      own.cancel(requestId);
    }
  }

  /** Takes back the permit of an attempt that surely did not run. */
  public void putBack(long nowNanos, QuotaPermit permit) {
    TenantPermits own = permits.get(permit.tenant());
    if (own != null) {
      own.putBack(nowNanos, permit);
    }
  }

  /** Returns the messages and decisions that have become due, in order, and forgets them. */
  public ImmutableList<QuotaAction> takeActions() {
    ImmutableList<QuotaAction> taken = ImmutableList.copyOf(actions);
    actions.clear();
    return taken;
  }

  /** Must be called about every 50 ms while {@link #isActive}. */
  public void tick(long nowNanos) {
    VmId collector = roles.collector(nowNanos);
    ownLoan.renew(nowNanos, collector).ifPresent(renewal -> sendOwnShare(nowNanos, renewal));
    if (ownLoan.isSilent(nowNanos)) {
      roles.passOver(nowNanos, ownLoan.borrower().orElseThrow());
    }
    collected.forgetEnded(nowNanos);
    if (collected.countUntil(nowNanos) > 0) {
      lendZone(nowNanos);
    }
    int knownVms = knownVms(nowNanos);
    owners.values().forEach(owner -> owner.update(nowNanos, knownVms));
    permits.values().forEach(own -> own.tick(nowNanos));
    permits.values().removeIf(own -> own.isIdle(nowNanos));
    deliverOwn(nowNanos);
  }

  /**
   * Returns whether enough is known to use the share of this VM: all other VMs, and that no loan of
   * an earlier run is left.
   */
  private boolean isSettled(long nowNanos) {
    long ageNanos = nowNanos - createdNanos;
    return ageNanos >= MembershipSettings.DISCOVERY_NANOS
        || (listedVms > 0 && ageNanos >= COLLECTOR_LOAN_NANOS);
  }

  /**
   * Returns the number of VMs that may use a share. Until a VM can know all others by itself, those
   * that the platform lists count too, though some may be gone for good.
   */
  private int knownVms(long nowNanos) {
    boolean isNew = nowNanos - createdNanos < MembershipSettings.DISCOVERY_NANOS;
    return Math.max(roles.knownVms(nowNanos), isNew ? listedVms : 0);
  }

  private void sendOwnShare(long nowNanos, ShareLoan.Renewal renewal) {
    send(
        renewal.to(),
        new QuotaMessage.Shares(
            QuotaMessage.ALL_GROUPS, 1, renewal.mark(), knownVms(nowNanos), isSettled(nowNanos)));
  }

  private void lendZone(long nowNanos) {
    for (int group = 0; group < QuotaRoles.GROUPS; group++) {
      ShareLoan loan = zoneLoans.computeIfAbsent(group, each -> new ShareLoan(OWNER_LOAN_NANOS));
      int lentGroup = group;
      loan.renew(nowNanos, roles.owner(nowNanos, group))
          .ifPresent(renewal -> sendZoneShares(nowNanos, lentGroup, renewal));
      if (loan.isSilent(nowNanos)) {
        roles.passOver(nowNanos, loan.borrower().orElseThrow());
      }
    }
  }

  /** Lends the shares that VMs lend to this one for longer than the owner will use them. */
  private void sendZoneShares(long nowNanos, int group, ShareLoan.Renewal renewal) {
    send(
        renewal.to(),
        new QuotaMessage.Shares(
            group,
            collected.countUntil(nowNanos + OWNER_LOAN_NANOS),
            renewal.mark(),
            Math.max(knownVms(nowNanos), collected.knownVms(nowNanos)),
            collected.isSettled(nowNanos)));
  }

  /** Applies a message of another VM. */
  public void applyMessage(long nowNanos, VmId from, QuotaMessage message) {
    apply(nowNanos, from, message);
    deliverOwn(nowNanos);
  }

  private void apply(long nowNanos, VmId from, QuotaMessage message) {
    switch (message) {
      case QuotaMessage.Shares shares -> {
        long mark =
            shares.group() == QuotaMessage.ALL_GROUPS
                ? collected.renew(nowNanos, from, shares)
                : owner(nowNanos, shares.group()).renew(nowNanos, knownVms(nowNanos), from, shares);
        send(from, new QuotaMessage.Mark(shares.group(), mark));
      }
      case QuotaMessage.Mark mark -> applyMark(nowNanos, from, mark);
      case QuotaMessage.Ask ask ->
          owner(nowNanos, QuotaRoles.groupOf(ask.tenant()))
              .answer(nowNanos, knownVms(nowNanos), ask)
              .ifPresent(grant -> send(from, grant));
      case QuotaMessage.Grant grant -> {
        TenantPermits own = permits.get(grant.tenant());
        TenantQuota quota = quotas.get(grant.tenant());
        if (own != null && quota != null) {
          own.applyGrant(nowNanos, from, grant, quota.requestsPerSecond());
        } else if (grant.count() > 0) {
          send(from, new QuotaMessage.Return(grant.tenant(), grant.batch(), grant.count()));
        }
      }
      case QuotaMessage.Return returned ->
          owner(nowNanos, QuotaRoles.groupOf(returned.tenant())).putBack(returned);
    }
  }

  private void applyMark(long nowNanos, VmId from, QuotaMessage.Mark mark) {
    if (mark.group() == QuotaMessage.ALL_GROUPS) {
      ownLoan
          .recordMark(nowNanos, from, mark.mark())
          .ifPresent(renewal -> sendOwnShare(nowNanos, renewal));
      return;
    }
    ShareLoan loan = zoneLoans.get(mark.group());
    if (loan != null) {
      loan.recordMark(nowNanos, from, mark.mark())
          .ifPresent(renewal -> sendZoneShares(nowNanos, mark.group(), renewal));
    }
  }

  private QuotaOwner owner(long nowNanos, int group) {
    return owners.computeIfAbsent(
        group, each -> new QuotaOwner(nowNanos, settings, OWNER_LOAN_NANOS, firstMark, quotas));
  }

  private void send(VmId to, QuotaMessage message) {
    actions.add(new QuotaAction.Send(to, message));
  }

  /** Applies the messages that this VM sends to itself, and those that follow from them. */
  private void deliverOwn(long nowNanos) {
    for (int i = 0; i < actions.size(); ) {
      if (actions.get(i) instanceof QuotaAction.Send send && send.to().equals(self)) {
        actions.remove(i);
        apply(nowNanos, self, send.message());
      } else {
        i++;
      }
    }
  }

  /** Returns whether this VM hands out the quotas of any group. */
  public boolean ownsAny() {
    return owners.values().stream().anyMatch(owner -> owner.share() > 0);
  }

  /** Returns the part of the quotas that this VM hands out, 0 to 1, by group. */
  public ImmutableMap<Integer, Double> ownedShares() {
    ImmutableMap.Builder<Integer, Double> shares = ImmutableMap.builder();
    owners.forEach(
        (group, owner) -> {
          if (owner.share() > 0) {
            shares.put(group, owner.share());
          }
        });
    return shares.buildOrThrow();
  }

  /** Returns what this VM knows of the quotas of tenants that sent requests to it or it owns. */
  public ImmutableList<QuotaStatus> status(long nowNanos) {
    return quotas.keySet().stream()
        .map(
            tenant ->
                permits
                    .getOrDefault(tenant, new TenantPermits(nowNanos, tenant, roles, actions))
                    .status(nowNanos, owner(nowNanos, QuotaRoles.groupOf(tenant))))
        .collect(ImmutableList.toImmutableList());
  }
}
