package org.mustardstage.core.quota;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.IntUnaryOperator;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberStatus.Liveness;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.permit.EventQueue;
import org.mustardstage.core.tenant.Tenant;
import org.mustardstage.core.tenant.TenantDirectory;
import org.mustardstage.core.tenant.TenantQuota;

/**
 * VMs in three regions of two zones in virtual time, with requests, lost and late messages, VMs
 * that end and start, and cuts, which each VM notices at another time.
 */
final class QuotaCluster {
  static final long SECOND = 1_000_000_000L;
  private static final int ZONES = 6;
  private static final long MILLI = 1_000_000L;

  final EventQueue events = new EventQueue();
  final Random random;
  final Map<TenantName, List<Long>> runs = new HashMap<>();
  final Map<TenantName, List<Long>> arrivals = new HashMap<>();
  final Map<TenantName, List<Long>> refusals = new HashMap<>();
  long messages;
  private final Vm[] vms;
  private BiPredicate<Integer, Integer> linked = (from, to) -> true;
  private double lossShare;
  private boolean listsVms;
  private long nextRequest;

  private static final class Vm {
    private Optional<TenantQuotas> quotas = Optional.empty();
    private TenantDirectory tenants = TenantDirectory.EMPTY;
    private final Map<Long, TenantName> waiting = new HashMap<>();
  }

  QuotaCluster(int count, long seed) {
    random = new Random(seed);
    vms = new Vm[count];
    for (int i = 0; i < count; i++) {
      vms[i] = new Vm();
    }
  }

  int size() {
    return vms.length;
  }

  static int zoneOf(int vm) {
    return vm % ZONES;
  }

  static int regionOf(int vm) {
    return zoneOf(vm) / 2;
  }

  static TenantDirectory tenants(Map<TenantName, TenantQuota> quotas) {
    ImmutableMap.Builder<TenantName, Tenant> tenants = ImmutableMap.builder();
    quotas.forEach(
        (name, quota) ->
            tenants.put(
                name,
                new Tenant(name, OptionalInt.empty(), ImmutableSet.of(), Optional.of(quota))));
    return new TenantDirectory(tenants.buildOrThrow(), Map.of());
  }

  void start(int vm, TenantDirectory tenants) {
    long nowNanos = events.nowNanos();
    TenantQuotas quotas =
        new TenantQuotas(id(vm), QuotaSettings.defaults(), nowNanos, random.nextLong());
    vms[vm].quotas = Optional.of(quotas);
    vms[vm].waiting.clear();
    vms[vm].tenants = tenants;
    if (listsVms) {
      quotas.setListedVms(vms.length);
    }
    quotas.setMembers(nowNanos, view(vm, other -> vm == other ? 1 : 0));
    quotas.setTenants(nowNanos, tenants);
    tick(vm, quotas);
  }

  void startAll(TenantDirectory tenants) {
    for (int vm = 0; vm < vms.length; vm++) {
      start(vm, tenants);
    }
    noticeChanges(0.2, 2);
  }

  void kill(int vm) {
    vms[vm].quotas = Optional.empty();
    vms[vm].waiting.clear();
  }

  void restart(int vm) {
    start(vm, vms[vm].tenants);
  }

  void setTenants(int vm, TenantDirectory tenants) {
    vms[vm].tenants = tenants;
    vms[vm].quotas.ifPresent(quotas -> quotas.setTenants(events.nowNanos(), tenants));
  }

  void setLinked(BiPredicate<Integer, Integer> newLinked) {
    linked = newLinked;
  }

  /** Lets VMs that start read from the platform how many there are. */
  void setListsVms(boolean newListsVms) {
    listsVms = newListsVms;
  }

  void setLossShare(double share) {
    lossShare = share;
  }

  /** Lets each VM see which VMs are alive and linked to it, at a time of its own. */
  void noticeChanges(double afterSeconds, double untilSeconds) {
    for (int i = 0; i < vms.length; i++) {
      int vm = i;
      double delay = afterSeconds + random.nextDouble() * (untilSeconds - afterSeconds);
      events.after((long) (delay * SECOND), () -> showMembers(vm));
    }
  }

  private void showMembers(int vm) {
    MemberView view =
        view(vm, other -> vms[other].quotas.isEmpty() || !isLinked(vm, other) ? -1 : 1);
    vms[vm].quotas.ifPresent(quotas -> quotas.setMembers(events.nowNanos(), view));
  }

  private boolean isLinked(int from, int to) {
    return from == to || linked.test(from, to);
  }

  /** Returns a view in which each VM is alive (1), dead (-1) or unknown (0). */
  private MemberView view(int self, IntUnaryOperator state) {
    List<MemberStatus> statuses = new ArrayList<>();
    for (int vm = 0; vm < vms.length; vm++) {
      int seen = state.applyAsInt(vm);
      if (seen != 0) {
        Liveness liveness = seen > 0 ? Liveness.ALIVE : Liveness.DEAD;
        statuses.add(new MemberStatus(member(vm), liveness, false, new ConfigVersion(1)));
      }
    }
    return new MemberView(member(self), statuses, ImmutableSet.of());
  }

  private static VmId id(int vm) {
    return new VmId("vm-" + vm);
  }

  private static Member member(int vm) {
    HostAndPort address = new HostAndPort("10.0.0.1", 1 + vm);
    return new Member(
        new VmIncarnation(id(vm), 1),
        new ZoneId("zone-" + zoneOf(vm)),
        new RegionId("region-" + regionOf(vm)),
        address,
        address,
        address,
        /* leaving= */ false);
  }

  private void tick(int vm, TenantQuotas quotas) {
    if (!vms[vm].quotas.equals(Optional.of(quotas))) {
      return;
    }
    quotas.tick(events.nowNanos());
    execute(vm, quotas);
    events.after((40 + random.nextInt(30)) * MILLI, () -> tick(vm, quotas));
  }

  private void execute(int vm, TenantQuotas quotas) {
    for (QuotaAction action : quotas.takeActions()) {
      switch (action) {
        case QuotaAction.Send send ->
            send(vm, Integer.parseInt(send.to().value().substring(3)), send.message());
        case QuotaAction.Decide decide ->
            apply(vm, vms[vm].waiting.remove(decide.requestId()), decide.decision());
      }
    }
  }

  private void send(int from, int to, QuotaMessage message) {
    messages++;
    if (!isLinked(from, to) || random.nextDouble() < lossShare) {
      return;
    }
    double delayMillis = regionOf(from) == regionOf(to) ? 0.5 : 55;
    if (random.nextDouble() < lossShare) {
      delayMillis += random.nextInt(1_500);
    }
    Optional<TenantQuotas> receiver = vms[to].quotas;
    events.after(
        (long) ((delayMillis + random.nextDouble()) * MILLI),
        () -> {
          if (receiver.isPresent() && vms[to].quotas.equals(receiver) && isLinked(from, to)) {
            receiver.get().applyMessage(events.nowNanos(), id(from), message);
            execute(to, receiver.get());
          }
        });
  }

  /** Sends requests of a tenant until {@code untilNanos} at the VMs that {@code vmAt} chooses. */
  void load(TenantName tenant, double perSecond, long untilNanos, IntUnaryOperator vmAt) {
    long gapNanos = (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
    if (events.nowNanos() + gapNanos > untilNanos) {
      return;
    }
    events.after(
        gapNanos,
        () -> {
          request(tenant, vmAt.applyAsInt(random.nextInt(vms.length)));
          load(tenant, perSecond, untilNanos, vmAt);
        });
  }

  private void request(TenantName tenant, int vm) {
    if (vms[vm].quotas.isEmpty()) {
      return;
    }
    record(arrivals, tenant);
    TenantQuotas quotas = vms[vm].quotas.get();
    long request = ++nextRequest;
    Optional<QuotaDecision> decision = quotas.acquire(events.nowNanos(), request, tenant);
    if (decision.isPresent()) {
      apply(vm, tenant, decision.get());
    } else {
      vms[vm].waiting.put(request, tenant);
    }
    execute(vm, quotas);
  }

  private void apply(int vm, TenantName tenant, QuotaDecision decision) {
    if (!(decision instanceof QuotaDecision.Granted granted)) {
      record(refusals, tenant);
      return;
    }
    if (random.nextInt(10) == 0) {
      // The endpoint refuses the first attempt; the next one needs a permit again.
      vms[vm].quotas.orElseThrow().putBack(events.nowNanos(), granted.permit());
      events.after(MILLI, () -> retry(tenant, vm));
      return;
    }
    events.after(random.nextInt(60) * MILLI, () -> record(runs, tenant));
  }

  private void retry(TenantName tenant, int vm) {
    int before = arrivals.getOrDefault(tenant, List.of()).size();
    request(tenant, vm);
    List<Long> arrived = arrivals.getOrDefault(tenant, new ArrayList<>());
    if (arrived.size() > before) {
      arrived.removeLast();
    }
  }

  private void record(Map<TenantName, List<Long>> times, TenantName tenant) {
    times.computeIfAbsent(tenant, name -> new ArrayList<>()).add(events.nowNanos());
  }

  /** Returns how many of the sorted {@code times} lie in a span. */
  static long countIn(List<Long> times, long fromNanos, long untilNanos) {
    return times.stream().filter(each -> each >= fromNanos && each < untilNanos).count();
  }

  /** Returns the largest number of runs in any window that begins after {@code fromNanos}. */
  long mostInWindow(TenantName tenant, long windowNanos, long fromNanos) {
    List<Long> sorted =
        runs.getOrDefault(tenant, List.of()).stream().filter(t -> t >= fromNanos).sorted().toList();
    int first = 0;
    long most = 0;
    for (int last = 0; last < sorted.size(); last++) {
      while (sorted.get(last) - sorted.get(first) > windowNanos) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  TenantQuotas quotas(int vm) {
    return vms[vm].quotas.orElseThrow();
  }
}
