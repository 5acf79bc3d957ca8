package org.mustardstage.core.member;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;

/**
 * Decides which VMs are believed alive. VMs of a zone send heartbeats to each other; the
 * representative of each zone gathers them into a digest; representatives of zones and regions
 * exchange heartbeats that carry a hash of all digests, and digests only where the hashes differ.
 */
public final class Membership {
  private static final int POLLERS_PER_ZONE = 2;
  private static final int SILENT_AFTER_REGION_PERIODS = 4;
  private static final int SUMMARY_PERIODS = 2;

  private final MembershipSettings settings;
  private final ZonePeers peers;
  private final World world = new World();
  private final SilentZones silentZones;
  private final HeartbeatSchedule schedule;
  private final Map<VmId, Long> summarySentNanos = new HashMap<>();
  private Member self;
  private ConfigVersion version = ConfigVersion.NONE;
  private List<Member> listed = ImmutableList.of();
  private Optional<ImmutableSortedMap<RegionId, ImmutableSortedSet<ZoneId>>> places =
      Optional.empty();
  private long placesHash;
  private long digestCheckedNanos;
  private long askedOwnZoneNanos = Long.MIN_VALUE / 2;
  private long viewMadeNanos;
  private int viewHash;

  /** Creates the state of {@code self}, which knows of no other VM yet. */
  public Membership(MembershipSettings settings, Member self, long nowNanos) {
    this.settings = settings;
    this.self = self;
    this.peers = new ZonePeers(settings, self);
    this.silentZones =
        new SilentZones(SILENT_AFTER_REGION_PERIODS * settings.regionHeartbeatNanos());
    this.schedule = new HeartbeatSchedule(settings);
    this.digestCheckedNanos = nowNanos - settings.digestIntervalNanos();
  }

  /** Takes in the platform's list. */
  public List<MemberAction> onVmList(long nowNanos, List<Member> list) {
    listed = ImmutableList.copyOf(list);
    places = Optional.empty();
    peers.onVmList(nowNanos, list);
    return changes(nowNanos);
  }

  /** Takes in a VM that introduced itself on a connection. */
  public List<MemberAction> onHello(long nowNanos, Member member) {
    peers.discover(nowNanos, member);
    peers.find(member.incarnation()).ifPresent(peer -> peer.hear(nowNanos));
    return changes(nowNanos);
  }

  /** Sets the version of the manifest in force here. */
  public void onVersion(ConfigVersion inForce) {
    version = inForce;
  }

  /** Marks this VM as leaving and tells the others at once. */
  public List<MemberAction> leave(long nowNanos) {
    self = self.asLeaving();
    schedule.sendAllNow();
    return onTick(nowNanos);
  }

  /** Takes in a message of {@code from}. */
  public List<MemberAction> onMessage(long nowNanos, Member from, MemberMessage message) {
    peers.discover(nowNanos, from);
    silentZones.onHeard(nowNanos, from);
    List<MemberAction> actions = new ArrayList<>();
    switch (message) {
      case MemberMessage.Heartbeat heartbeat -> onHeartbeat(nowNanos, from, heartbeat, actions);
      case MemberMessage.DigestSummary summary -> onSummary(nowNanos, from, summary, actions);
      case MemberMessage.Digests digests -> digests.digests().forEach(world::offer);
    }
    return actions;
  }

  private void onHeartbeat(
      long nowNanos, Member from, MemberMessage.Heartbeat heartbeat, List<MemberAction> actions) {
    peers
        .find(from.incarnation())
        .ifPresent(peer -> peer.hear(nowNanos, heartbeat.leaving(), heartbeat.version()));
    if (reportsSilentZonesTo(nowNanos, from)) {
      silentZones.onReport(heartbeat.silentZones());
    }
    if (heartbeat.worldHash() != world.hash() && asksForDigests(nowNanos, from)) {
      sendSummary(nowNanos, from, actions);
    }
  }

  /**
   * Returns whether a difference to {@code from} is looked into: VMs of a zone ask their
   * representative only; the representative asks other zones, and now and then a VM of its own.
   */
  private boolean asksForDigests(long nowNanos, Member from) {
    if (!from.zone().equals(self.zone()) || isSameVm(representativeOf(nowNanos), from)) {
      return true;
    }
    boolean due = nowNanos - askedOwnZoneNanos >= settings.regionHeartbeatNanos();
    if (!due || !isZoneRepresentative(nowNanos)) {
      return false;
    }
    askedOwnZoneNanos = nowNanos;
    return true;
  }

  /** Returns whether {@code from} speaks for the own zone, or for the region to this zone. */
  private boolean reportsSilentZonesTo(long nowNanos, Member from) {
    if (from.zone().equals(self.zone())) {
      return isSameVm(representativeOf(nowNanos), from);
    }
    return from.region().equals(self.region())
        && isZoneRepresentative(nowNanos)
        && from.zone().equals(speakingZone(nowNanos));
  }

  private static boolean isSameVm(Optional<Member> representative, Member member) {
    return representative.filter(r -> r.vm().equals(member.vm())).isPresent();
  }

  private void sendSummary(long nowNanos, Member to, List<MemberAction> actions) {
    Long sentNanos = summarySentNanos.get(to.vm());
    long minGapNanos = SUMMARY_PERIODS * peers.periodNanos();
    if (sentNanos != null && nowNanos - sentNanos < minGapNanos) {
      return;
    }
    summarySentNanos.put(to.vm(), nowNanos);
    actions.add(new MemberAction.SendMessage(to, world.summary()));
  }

  private void onSummary(
      long nowNanos, Member from, MemberMessage.DigestSummary summary, List<MemberAction> actions) {
    List<DigestUpdate> newer = world.newerThan(summary.counters());
    if (!newer.isEmpty()) {
      actions.add(new MemberAction.SendMessage(from, new MemberMessage.Digests(newer)));
    }
    if (world.isOlderThan(summary.counters())) {
      sendSummary(nowNanos, from, actions);
    }
  }

  /** Lets time pass: heartbeats are sent and suspicions grow. */
  public List<MemberAction> onTick(long nowNanos) {
    List<MemberAction> actions = new ArrayList<>();
    peers.forgetGone(nowNanos);
    refreshOwnDigest(nowNanos);
    List<Member> due = schedule.due(nowNanos, this::targets);
    if (!due.isEmpty()) {
      MemberMessage.Heartbeat heartbeat = heartbeat(nowNanos);
      due.forEach(target -> actions.add(new MemberAction.SendMessage(target, heartbeat)));
    }
    if (nowNanos - viewMadeNanos >= settings.minHeartbeatNanos() / 2) {
      actions.addAll(changes(nowNanos));
    }
    return actions;
  }

  private MemberMessage.Heartbeat heartbeat(long nowNanos) {
    return new MemberMessage.Heartbeat(
        self.leaving(), version, world.hash(), ImmutableList.copyOf(ownSilentZones(nowNanos)));
  }

  private HeartbeatSchedule.Targets targets(long nowNanos) {
    List<Member> zonePeers = peers.all().stream().map(PeerRecord::member).toList();
    List<Member> otherZones = ImmutableList.of();
    List<Member> otherRegions = ImmutableList.of();
    if (isZoneRepresentative(nowNanos)) {
      otherZones = zoneTargets(nowNanos);
    }
    if (isRegionRepresentative(nowNanos)) {
      otherRegions = regionTargets(nowNanos);
    }
    return new HeartbeatSchedule.Targets(zonePeers, otherZones, otherRegions);
  }

  private List<Member> zoneTargets(long nowNanos) {
    List<Member> targets = new ArrayList<>();
    for (ZoneId zone : zonesOf(self.region())) {
      if (!zone.equals(self.zone())) {
        contact(
                nowNanos,
                zone.value(),
                candidatesOf(zone),
                silentZones.isZoneSilent(nowNanos, zone))
            .ifPresent(targets::add);
      }
    }
    return targets;
  }

  private List<Member> regionTargets(long nowNanos) {
    List<Member> targets = new ArrayList<>();
    for (RegionId region : regions()) {
      if (!region.equals(self.region())) {
        boolean silent = silentZones.isRegionSilent(nowNanos, region);
        contact(nowNanos, firstZone(region).value(), candidatesOf(region), silent)
            .ifPresent(targets::add);
      }
    }
    return targets;
  }

  /**
   * Returns whom to send to: the representative, but while it is silent every other time one of the
   * candidates in turn, as another one may be the representative by now.
   */
  private Optional<Member> contact(
      long nowNanos, String zone, List<Member> candidates, boolean silent) {
    long turn = nowNanos / settings.regionHeartbeatNanos();
    if (silent && turn % 2 == 1 && !candidates.isEmpty()) {
      return Optional.of(candidates.get((int) Math.floorMod(turn / 2, (long) candidates.size())));
    }
    List<Member> inZone = candidates.stream().filter(m -> m.zone().value().equals(zone)).toList();
    return Representatives.choose(zone, inZone.isEmpty() ? candidates : inZone);
  }

  private List<Member> candidatesOf(ZoneId zone) {
    List<Member> fromDigest =
        world.find(zone).stream().flatMap(digest -> digest.members().stream()).toList();
    return fromDigest.isEmpty()
        ? listed.stream().filter(member -> member.zone().equals(zone)).toList()
        : fromDigest;
  }

  private List<Member> candidatesOf(RegionId region) {
    return zonesOf(region).stream().flatMap(zone -> candidatesOf(zone).stream()).toList();
  }

  private ZoneId firstZone(RegionId region) {
    return zonesOf(region).first();
  }

  private ImmutableSortedSet<ZoneId> zonesOf(RegionId region) {
    return places().getOrDefault(region, ImmutableSortedSet.of());
  }

  private ImmutableSet<RegionId> regions() {
    return places().keySet();
  }

  /** Returns the zones of each region; made anew when a digest or the list has changed. */
  private ImmutableSortedMap<RegionId, ImmutableSortedSet<ZoneId>> places() {
    if (places.isEmpty() || placesHash != world.hash()) {
      placesHash = world.hash();
      places = Optional.of(findPlaces());
    }
    return places.orElseThrow();
  }

  private ImmutableSortedMap<RegionId, ImmutableSortedSet<ZoneId>> findPlaces() {
    TreeMap<RegionId, TreeSet<ZoneId>> zones = new TreeMap<>();
    List<Member> known = new ArrayList<>(listed);
    world.all().values().forEach(digest -> known.addAll(digest.members()));
    for (Member member : known) {
      zones.computeIfAbsent(member.region(), key -> new TreeSet<>()).add(member.zone());
    }
    ImmutableSortedMap.Builder<RegionId, ImmutableSortedSet<ZoneId>> sorted =
        ImmutableSortedMap.naturalOrder();
    zones.forEach((region, set) -> sorted.put(region, ImmutableSortedSet.copyOfSorted(set)));
    return sorted.buildOrThrow();
  }

  private List<Member> aliveInZone(long nowNanos) {
    List<Member> alive = new ArrayList<>();
    alive.add(self);
    peers.statuses(nowNanos).stream()
        .filter(MemberStatus::isAlive)
        .forEach(status -> alive.add(status.member()));
    return alive;
  }

  private Optional<Member> representativeOf(long nowNanos) {
    return Representatives.choose(self.zone().value(), aliveInZone(nowNanos));
  }

  private boolean isZoneRepresentative(long nowNanos) {
    return isSameVm(representativeOf(nowNanos), self);
  }

  private boolean isRegionRepresentative(long nowNanos) {
    return isZoneRepresentative(nowNanos) && speakingZone(nowNanos).equals(self.zone());
  }

  /** Returns the zone whose representative speaks for the own region. */
  private ZoneId speakingZone(long nowNanos) {
    return zonesOf(self.region()).stream()
        .filter(zone -> zone.equals(self.zone()) || !silentZones.isZoneSilent(nowNanos, zone))
        .findFirst()
        .orElse(self.zone());
  }

  /** Returns whether this VM reads the platform's rows on behalf of its zone. */
  public boolean isPoller(long nowNanos) {
    return Representatives.isAmongFirst(
        POLLERS_PER_ZONE, "poll/" + self.zone(), self, aliveInZone(nowNanos));
  }

  /** Returns whether this VM should read the platform's list of VMs. */
  public boolean needsVmList(long nowNanos) {
    return listed.isEmpty() || isPoller(nowNanos) || peers.needsVmList(nowNanos);
  }

  private void refreshOwnDigest(long nowNanos) {
    if (nowNanos - digestCheckedNanos < settings.digestIntervalNanos()) {
      return;
    }
    digestCheckedNanos = nowNanos;
    if (!isZoneRepresentative(nowNanos)) {
      return;
    }
    Optional<ZoneDigest> held = world.find(self.zone());
    ZoneDigest fresh = makeDigest(nowNanos, held.map(ZoneDigest::counter).orElse(0L) + 1);
    if (held.filter(fresh::saysTheSameAs).isEmpty()) {
      world.offer(fresh);
    }
  }

  private ZoneDigest makeDigest(long nowNanos, long counter) {
    List<MemberStatus> alive = new ArrayList<>();
    alive.add(new MemberStatus(self, MemberStatus.Liveness.ALIVE, false, version));
    peers.statuses(nowNanos).stream().filter(MemberStatus::isAlive).forEach(alive::add);
    alive.sort(Comparator.comparing(status -> status.member().vm()));
    ConfigVersion newest =
        alive.stream().map(MemberStatus::version).max(Comparator.naturalOrder()).orElseThrow();
    List<VmId> behind =
        alive.stream()
            .filter(status -> !status.version().equals(newest))
            .map(status -> status.member().vm())
            .toList();
    List<Member> members = alive.stream().map(MemberStatus::member).toList();
    return new ZoneDigest(self.zone(), counter, newest, behind, members);
  }

  private ImmutableSet<ZoneId> ownSilentZones(long nowNanos) {
    ImmutableSet.Builder<ZoneId> silent = ImmutableSet.builder();
    boolean zoneRepresentative = isZoneRepresentative(nowNanos);
    boolean regionRepresentative = isRegionRepresentative(nowNanos);
    for (ZoneDigest digest : world.all().values()) {
      if (digest.zone().equals(self.zone()) || digest.members().isEmpty()) {
        continue;
      }
      RegionId region = digest.members().getFirst().region();
      if (isSilent(nowNanos, digest.zone(), region, zoneRepresentative, regionRepresentative)) {
        silent.add(digest.zone());
      }
    }
    return silent.build();
  }

  private boolean isSilent(
      long nowNanos,
      ZoneId zone,
      RegionId region,
      boolean zoneRepresentative,
      boolean regionRepresentative) {
    if (region.equals(self.region()) && zoneRepresentative) {
      return silentZones.isZoneSilent(nowNanos, zone);
    }
    if (regionRepresentative) {
      return silentZones.isRegionSilent(nowNanos, region);
    }
    return silentZones.reported().contains(zone);
  }

  /** Returns what this VM believes now. */
  public MemberView view(long nowNanos) {
    List<MemberStatus> statuses = new ArrayList<>();
    statuses.add(new MemberStatus(self, MemberStatus.Liveness.ALIVE, false, version));
    statuses.addAll(peers.statuses(nowNanos));
    ImmutableSet<ZoneId> silent = ownSilentZones(nowNanos);
    for (ZoneDigest digest : world.all().values()) {
      if (!digest.zone().equals(self.zone())) {
        digest.members().forEach(member -> statuses.add(toStatus(digest, member, silent)));
      }
    }
    return new MemberView(self, statuses, silent);
  }

  private static MemberStatus toStatus(
      ZoneDigest digest, Member member, ImmutableSet<ZoneId> silent) {
    MemberStatus.Liveness liveness =
        silent.contains(member.zone())
            ? MemberStatus.Liveness.SUSPECTED
            : MemberStatus.Liveness.ALIVE;
    return new MemberStatus(member, liveness, false, digest.versionOf(member));
  }

  private List<MemberAction> changes(long nowNanos) {
    viewMadeNanos = nowNanos;
    int hash = view(nowNanos).hashCode();
    if (hash == viewHash) {
      return ImmutableList.of();
    }
    viewHash = hash;
    return ImmutableList.of(new MemberAction.ViewChanged());
  }
}
