package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/**
 * Entry VMs, their network, the store, the endpoints and the platform's VM list in virtual time.
 * The behaviour is determined by the seed and the calls.
 */
public final class VirtualCluster {
  private static final long MILLIS = 1_000_000L;
  private static final long MEMBERSHIP_LAG_NANOS = 300 * MILLIS;

  private final EventQueue events = new EventQueue();
  private final RandomGenerator random;
  private final FakeNetwork network;
  private final FakeStore store;
  private final FakeEndpoints endpoints;
  private final PermitSettings settings;
  private final Supplier<PermitGuards> guards;
  private final Map<VmId, VirtualVm> vms = new LinkedHashMap<>();
  private final Map<VmId, ZoneId> vmZones = new LinkedHashMap<>();
  private final Map<VmIncarnation, EndedVm> endedVms = new LinkedHashMap<>();
  private final Map<VmIncarnation, Map<VmIncarnation, Long>> lastContactNanos = new HashMap<>();
  private final Map<VmId, Boolean> wronglyDelisted = new HashMap<>();
  private final List<ZoneId> zones = new ArrayList<>();
  private final Map<LimitId, List<Allowance>> allowances = new HashMap<>();
  private List<Limit> limits = List.of();
  private long version;
  private long lastIncarnation;

  /** A VM whose process has ended. */
  private record EndedVm(ZoneId zone, long endedNanos) {}

  /** A number of permits that may still be in use until a time, under an earlier manifest. */
  private record Allowance(int permits, long untilNanos) {}

  /** Creates a cluster without VMs and limits. */
  public VirtualCluster(long seed, PermitSettings settings, Supplier<PermitGuards> guards) {
    this.random = new SplittableRandom(seed);
    this.settings = settings;
    this.guards = guards;
    this.network = new FakeNetwork(events, new SplittableRandom(seed + 1));
    this.store = new FakeStore(events, new SplittableRandom(seed + 2));
    this.endpoints = new FakeEndpoints(events, this::allowedPermits);
    updateMembers();
  }

  public EventQueue events() {
    return events;
  }

  public FakeNetwork network() {
    return network;
  }

  public FakeStore store() {
    return store;
  }

  public FakeEndpoints endpoints() {
    return endpoints;
  }

  public PermitSettings settings() {
    return settings;
  }

  /** Returns the zones. */
  public List<ZoneId> zones() {
    return zones;
  }

  /** Returns the limits of the newest manifest. */
  public List<Limit> limits() {
    return limits;
  }

  /** Returns the running VMs. */
  public List<VirtualVm> runningVms() {
    return vms.values().stream().filter(VirtualVm::isRunning).toList();
  }

  /** Returns the VM, whether it is running or not. */
  public VirtualVm vm(VmId id) {
    return vms.get(id);
  }

  /** Returns the ids of all VMs. */
  public List<VmId> vmIds() {
    return new ArrayList<>(vmZones.keySet());
  }

  /** Starts a VM, or a new incarnation of one whose process has ended. */
  public VirtualVm start(VmId id, ZoneId zone) {
    VmIncarnation incarnation = new VmIncarnation(id, ++lastIncarnation);
    vmZones.put(id, zone);
    if (!zones.contains(zone)) {
      zones.add(zone);
    }
    VirtualVm vm = new VirtualVm(this, incarnation, zone, random.nextLong(), guards.get());
    vms.put(id, vm);
    vm.updateLimits(version, limits);
    vm.updateMembers(membersAsSeenBy(vm));
    return vm;
  }

  /** Ends the process of a VM immediately. */
  public void crash(VmId id) {
    VirtualVm vm = vms.get(id);
    if (vm.isRunning()) {
      vm.crash();
      endedVms.put(vm.self(), new EndedVm(vm.zone(), events.nowNanos()));
    }
  }

  /** Removes a VM that may still be running from the platform's VM list, or adds it again. */
  public void setWronglyDelisted(VmId id, boolean isDelisted) {
    wronglyDelisted.put(id, isDelisted);
  }

  /** Activates the limits of a new manifest, at each VM after a different delay. */
  public void activateLimits(List<Limit> newLimits) {
    version++;
    limits = List.copyOf(newLimits);
    long newVersion = version;
    for (VirtualVm vm : runningVms()) {
      events.after(random.nextLong(500 * MILLIS), () -> vm.updateLimits(newVersion, newLimits));
    }
  }

  /**
   * Allows an endpoint to run {@code permits} requests until {@code untilNanos}, even if the newest
   * manifest allows fewer.
   */
  public void allowPermitsUntil(LimitId limit, int permits, long untilNanos) {
    allowances
        .computeIfAbsent(limit, key -> new ArrayList<>())
        .add(new Allowance(permits, untilNanos));
  }

  private int allowedPermits(LimitId id) {
    int allowed = 0;
    for (Limit limit : limits) {
      allowed = limit.id().equals(id) ? limit.permits() : allowed;
    }
    for (Allowance allowance : allowances.getOrDefault(id, List.of())) {
      if (events.nowNanos() < allowance.untilNanos()) {
        allowed = Math.max(allowed, allowance.permits());
      }
    }
    return allowed;
  }

  private void updateMembers() {
    for (VirtualVm vm : runningVms()) {
      vm.updateMembers(membersAsSeenBy(vm));
    }
    events.after(
        MEMBERSHIP_LAG_NANOS / 2 + random.nextLong(MEMBERSHIP_LAG_NANOS), this::updateMembers);
  }

  private List<ZoneMember> membersAsSeenBy(VirtualVm viewer) {
    List<ZoneMember> members = new ArrayList<>();
    for (VirtualVm vm : runningVms()) {
      members.add(asSeenBy(viewer, vm));
    }
    endedVms.forEach((vm, end) -> members.add(asEndedMember(vm, end)));
    return members;
  }

  private ZoneMember asSeenBy(VirtualVm viewer, VirtualVm vm) {
    boolean isReachable = network.canReach(viewer.self(), vm.self());
    Map<VmIncarnation, Long> lastContactByVm =
        lastContactNanos.computeIfAbsent(viewer.self(), key -> new HashMap<>());
    if (isReachable) {
      lastContactByVm.put(vm.self(), events.nowNanos());
    }
    long silentNanos =
        events.nowNanos() - lastContactByVm.getOrDefault(vm.self(), events.nowNanos());
    boolean isDelisted = wronglyDelisted.getOrDefault(vm.self().vm(), false);
    boolean isProvenGone =
        isDelisted && isAnotherListed(vm) && silentNanos > settings.takeoverWaitNanos();
    return new ZoneMember(vm.self(), vm.zone(), isReachable, isProvenGone);
  }

  /**
   * Returns whether the VM list still has another VM of the zone. The design does not cover a list
   * that removes the last VM of a zone while that VM keeps serving, so the cluster does not
   * simulate it.
   */
  private boolean isAnotherListed(VirtualVm vm) {
    return runningVms().stream()
        .filter(other -> other != vm && other.zone().equals(vm.zone()))
        .anyMatch(other -> !wronglyDelisted.getOrDefault(other.self().vm(), false));
  }

  private ZoneMember asEndedMember(VmIncarnation vm, EndedVm end) {
    long silentNanos = events.nowNanos() - end.endedNanos();
    boolean isSuspected = silentNanos > MEMBERSHIP_LAG_NANOS;
    boolean isReplaced = vms.get(vm.vm()).isRunning();
    boolean isProvenGone =
        (isReplaced && isSuspected)
            || silentNanos > settings.takeoverWaitNanos() + MEMBERSHIP_LAG_NANOS;
    return new ZoneMember(vm, end.zone(), !isSuspected, isProvenGone);
  }

  /**
   * Returns how many permits are held, not in use and usable by ownership that is confirmed, over
   * all limits.
   */
  public int usablePermits() {
    int usable = 0;
    for (VirtualVm vm : runningVms()) {
      PermitStatus status = vm.status();
      boolean isUsable = status.partsOwned() == 0 || status.ownershipConfirmed();
      usable += isUsable ? status.permitsIdle() : 0;
    }
    return usable;
  }

  /** Returns the status of all running VMs and the ownership rows, for failure messages. */
  public String describe() {
    StringBuilder text = new StringBuilder();
    runningVms().forEach(vm -> text.append('\n').append(vm.self()).append(' ').append(vm.status()));
    zones.forEach(zone -> text.append('\n').append(store.row(zone)));
    return text.toString();
  }

  /** Returns the number of permits of all limits. */
  public int totalPermits() {
    return limits.stream().mapToInt(Limit::permits).sum();
  }
}
