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
 * Entry VMs, network, store, endpoints and the platform's list in virtual time. All that happens
 * follows from the seed and the calls.
 */
public final class VirtualCluster {
  private static final long MILLIS = 1_000_000L;
  private static final long LIST_LAG_NANOS = 300 * MILLIS;

  private final EventQueue events = new EventQueue();
  private final RandomGenerator random;
  private final FakeNetwork network;
  private final FakeStore store;
  private final FakeEndpoints endpoints;
  private final PermitSettings settings;
  private final Supplier<PermitGuards> guards;
  private final Map<VmId, VirtualVm> vms = new LinkedHashMap<>();
  private final Map<VmId, ZoneId> vmZones = new LinkedHashMap<>();
  private final Map<VmIncarnation, Ended> ended = new LinkedHashMap<>();
  private final Map<VmIncarnation, Map<VmIncarnation, Long>> lastHeard = new HashMap<>();
  private final Map<VmId, Boolean> wronglyDropped = new HashMap<>();
  private final List<ZoneId> zones = new ArrayList<>();
  private final Map<LimitId, List<Allowance>> allowances = new HashMap<>();
  private List<Limit> limits = List.of();
  private long version;
  private long lastIncarnation;

  /** A VM that ended. */
  private record Ended(ZoneId zone, long atNanos) {}

  /** A number of permits that may be in force until a time. */
  private record Allowance(int permits, long untilNanos) {}

  /** Creates a cluster without VMs and limits. */
  public VirtualCluster(long seed, PermitSettings settings, Supplier<PermitGuards> guards) {
    this.random = new SplittableRandom(seed);
    this.settings = settings;
    this.guards = guards;
    this.network = new FakeNetwork(events, new SplittableRandom(seed + 1));
    this.store = new FakeStore(events, new SplittableRandom(seed + 2));
    this.endpoints = new FakeEndpoints(events, this::allowed);
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

  /** Returns the VMs that run. */
  public List<VirtualVm> runningVms() {
    return vms.values().stream().filter(VirtualVm::isRunning).toList();
  }

  /** Returns the VM, running or not. */
  public VirtualVm vm(VmId id) {
    return vms.get(id);
  }

  /** Returns the names of all VMs. */
  public List<VmId> vmIds() {
    return new ArrayList<>(vmZones.keySet());
  }

  /** Starts a VM, or a new incarnation of one that ended. */
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

  /** Ends the process of a VM at once. */
  public void crash(VmId id) {
    VirtualVm vm = vms.get(id);
    if (vm.isRunning()) {
      vm.crash();
      ended.put(vm.self(), new Ended(vm.zone(), events.nowNanos()));
    }
  }

  /** Lets the platform's list drop a VM that runs and is cut off, or list it again. */
  public void setWronglyDelisted(VmId id, boolean isDropped) {
    wronglyDropped.put(id, isDropped);
  }

  /** Puts a manifest in force, at each VM after another delay. */
  public void activateLimits(List<Limit> newLimits) {
    version++;
    limits = List.copyOf(newLimits);
    long newVersion = version;
    for (VirtualVm vm : runningVms()) {
      events.after(random.nextLong(500 * MILLIS), () -> vm.updateLimits(newVersion, newLimits));
    }
  }

  /** Sets how many requests an endpoint may run, over and above the newest manifest. */
  public void allowPermitsUntil(LimitId limit, int permits, long untilNanos) {
    allowances
        .computeIfAbsent(limit, key -> new ArrayList<>())
        .add(new Allowance(permits, untilNanos));
  }

  private int allowed(LimitId id) {
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
    events.after(LIST_LAG_NANOS / 2 + random.nextLong(LIST_LAG_NANOS), this::updateMembers);
  }

  private List<ZoneMember> membersAsSeenBy(VirtualVm viewer) {
    List<ZoneMember> members = new ArrayList<>();
    for (VirtualVm vm : runningVms()) {
      members.add(asSeenBy(viewer, vm));
    }
    ended.forEach((vm, end) -> members.add(endedAsMember(vm, end)));
    return members;
  }

  private ZoneMember asSeenBy(VirtualVm viewer, VirtualVm vm) {
    boolean isReached = network.canReach(viewer.self(), vm.self());
    Map<VmIncarnation, Long> heard =
        lastHeard.computeIfAbsent(viewer.self(), key -> new HashMap<>());
    if (isReached) {
      heard.put(vm.self(), events.nowNanos());
    }
    long silentNanos = events.nowNanos() - heard.getOrDefault(vm.self(), events.nowNanos());
    boolean isDropped = wronglyDropped.getOrDefault(vm.self().vm(), false);
    boolean isProvenGone =
        isDropped && anotherIsListed(vm) && silentNanos > settings.takeoverWaitNanos();
    return new ZoneMember(vm.self(), vm.zone(), isReached, isProvenGone);
  }

  /** A list that drops the last VM of a zone that serves on is a limit of the design. */
  private boolean anotherIsListed(VirtualVm vm) {
    return runningVms().stream()
        .filter(other -> other != vm && other.zone().equals(vm.zone()))
        .anyMatch(other -> !wronglyDropped.getOrDefault(other.self().vm(), false));
  }

  private ZoneMember endedAsMember(VmIncarnation vm, Ended end) {
    long silentNanos = events.nowNanos() - end.atNanos();
    boolean isSuspected = silentNanos > LIST_LAG_NANOS;
    boolean isReplaced = vms.get(vm.vm()).isRunning();
    boolean isProvenGone =
        (isReplaced && isSuspected) || silentNanos > settings.takeoverWaitNanos() + LIST_LAG_NANOS;
    return new ZoneMember(vm, end.zone(), !isSuspected, isProvenGone);
  }

  /** Returns how many permits of all limits are at hand, free and confirmed. */
  public int usablePermits() {
    int usable = 0;
    for (VirtualVm vm : runningVms()) {
      PermitStatus status = vm.status();
      boolean isUsable = status.partsOwned() == 0 || status.ownershipConfirmed();
      usable += isUsable ? status.permitsIdle() : 0;
    }
    return usable;
  }

  /** Returns the counts of all VMs that run, for the message of a failure. */
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
