package org.mustardstage.core.member;

import com.google.common.base.Preconditions;
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
 * Decides which VMs are believed alive. The VMs of a zone send heartbeats to each other, and the
 * representative of the zone collects the result in a digest. Representatives of zones and regions
 * exchange heartbeats that carry a hash over all digests; digests themselves are sent only when the
 * hashes differ.
 */
public final class Membership {
  private static final int PLATFORM_POLLERS_PER_ZONE = 2;
  private static final int SILENT_AFTER_REGION_INTERVALS = 4;
  private static final int MIN_SUMMARY_GAP_INTERVALS = 2;

  private final MembershipSettings settings;
  private final ZonePeers peers;
  private final DigestTable digestTable = new DigestTable();
  private final SilentZoneDetector silentZoneDetector;
  private final HeartbeatSchedule heartbeatSchedule;
  private final MemberRanks ranks = new MemberRanks();
  private final Map<VmId, Long> lastSummaryNanos = new HashMap<>();
  private Member self;
  private ConfigVersion configVersion = ConfigVersion.NONE;
  private List<Member> platformVmList = ImmutableList.of();
  private Optional<ImmutableSortedMap<RegionId, ImmutableSortedSet<ZoneId>>> zonesByRegion =
      Optional.empty();
  private long zonesByRegionHash;
  private long lastDigestCheckNanos;
  private long lastOwnZoneRequestNanos = Long.MIN_VALUE / 2;
  private long lastViewNanos;
  private int lastViewHash;

  /** Creates the membership state of {@code self}, which knows no other VM yet. */
  public Membership(MembershipSettings settings, Member self, long nowNanos) {
    this.settings = settings;
    this.self = self;
    this.peers = new ZonePeers(settings, self);
    this.silentZoneDetector =
        new SilentZoneDetector(
            SILENT_AFTER_REGION_INTERVALS * settings.otherRegionHeartbeatIntervalNanos());
    this.heartbeatSchedule = new HeartbeatSchedule(settings);
    this.lastDigestCheckNanos = nowNanos - settings.digestIntervalNanos();
  }

  /**
   * Applies the platform's list of entry VMs: adds new VMs of the own zone and marks those that are
   * no longer listed.
   */
  public List<MemberAction> applyVmList(long nowNanos, List<Member> list) {
    platformVmList = ImmutableList.copyOf(list);
    zonesByRegion = Optional.empty();
    peers.applyVmList(nowNanos, list);
    List<MemberAction> actions = new ArrayList<>(detectViewChange(nowNanos));
    list.stream()
        .filter(member -> member.vm().equals(self.vm()))
        .mapToLong(member -> member.incarnation().number())
        .filter(number -> number > self.incarnation().number())
        .max()
        .ifPresent(number -> actions.add(new MemberAction.Superseded(number)));
    return actions;
  }

  /**
   * Changes the number of this incarnation, so that VMs that know an earlier incarnation under a
   * number that is not smaller accept this one.
   */
  public void renumber(long number) {
    Preconditions.checkArgument(
        number > self.incarnation().number(),
        "number must be larger than %s: %s",
        self.incarnation().number(),
        number);
    self = self.withNumber(number);
    heartbeatSchedule.makeAllDue();
  }

  /** Adds a VM that introduced itself on a new link and marks it alive. */
  public List<MemberAction> addPeer(long nowNanos, Member member) {
    peers.addIfNewer(nowNanos, member);
    peers.find(member.incarnation()).ifPresent(peer -> peer.recordContact(nowNanos));
    List<MemberAction> actions = new ArrayList<>(detectViewChange(nowNanos));
    actions.addAll(answerSuperseded(member));
    return actions;
  }

  /** Tells {@code member} if its VM is known under a number that is not smaller. */
  private List<MemberAction> answerSuperseded(Member member) {
    return knownNumberOf(member)
        .map(number -> new MemberAction.SendMessage(member, new MemberMessage.Superseded(number)))
        .map(ImmutableList::<MemberAction>of)
        .orElse(ImmutableList.of());
  }

  /** Returns the number of an incarnation that is known instead of {@code member}. */
  private Optional<Long> knownNumberOf(Member member) {
    Optional<Member> known =
        member.zone().equals(self.zone())
            ? peers.find(member.vm())
            : digestTable.find(member.zone()).stream()
                .flatMap(digest -> digest.members().stream())
                .filter(other -> other.vm().equals(member.vm()))
                .findFirst();
    long offered = member.incarnation().number();
    return known
        .filter(
            other ->
                other.incarnation().number() > offered
                    || (other.incarnation().number() == offered
                        && other.leaving()
                        && !member.leaving()))
        .map(other -> other.incarnation().number());
  }

  /** Sets the configuration version that is active on this VM. */
  public void setConfigVersion(ConfigVersion activeVersion) {
    configVersion = activeVersion;
  }

  /** Marks this VM as leaving and announces it to all heartbeat targets at once. */
  public List<MemberAction> leave(long nowNanos) {
    return announce(nowNanos, self.asLeaving());
  }

  /**
   * Announces to all heartbeat targets at once that this VM reaches no endpoint, or reaches
   * endpoints again.
   */
  public List<MemberAction> setCutOff(long nowNanos, boolean cutOff) {
    return announce(nowNanos, self.withCutOff(cutOff));
  }

  private List<MemberAction> announce(long nowNanos, Member changedSelf) {
    self = changedSelf;
    heartbeatSchedule.makeAllDue();
    return tick(nowNanos);
  }

  /**
   * Applies a message from {@code from}, which also counts as a sign of life of its zone and
   * region.
   */
  public List<MemberAction> applyMessage(long nowNanos, Member from, MemberMessage message) {
    peers.addIfNewer(nowNanos, from);
    silentZoneDetector.recordContact(nowNanos, from);
    List<MemberAction> actions = new ArrayList<>();
    if (message instanceof MemberMessage.Heartbeat heartbeat && !heartbeat.leaving()) {
      actions.addAll(answerSuperseded(from));
    }
    switch (message) {
      case MemberMessage.Heartbeat heartbeat -> applyHeartbeat(nowNanos, from, heartbeat, actions);
      case MemberMessage.DigestSummary summary -> applySummary(nowNanos, from, summary, actions);
      case MemberMessage.Digests digests -> digests.digests().forEach(digestTable::putIfNewer);
      case MemberMessage.Superseded superseded -> {
        if (superseded.knownNumber() >= self.incarnation().number()) {
          actions.add(new MemberAction.Superseded(superseded.knownNumber()));
        }
      }
    }
    return actions;
  }

  private void applyHeartbeat(
      long nowNanos, Member from, MemberMessage.Heartbeat heartbeat, List<MemberAction> actions) {
    peers.find(from.incarnation()).ifPresent(peer -> peer.recordContact(nowNanos, heartbeat));
    if (isSilentZoneReporter(nowNanos, from)) {
      silentZoneDetector.setReported(heartbeat.silentZones());
    }
    if (heartbeat.digestTableHash() != digestTable.hash() && shouldRequestDigests(nowNanos, from)) {
      sendSummary(nowNanos, from, actions);
    }
  }

  /**
   * Returns whether to request the digests of {@code from} after its hash differed. To keep the
   * number of exchanges low, VMs of a zone request them only from their representative; the
   * representative requests them from other zones, and at most once per heartbeat interval of other
   * regions from a VM of its own zone.
   */
  private boolean shouldRequestDigests(long nowNanos, Member from) {
    if (!from.zone().equals(self.zone()) || isSameVm(representativeOf(nowNanos), from)) {
      return true;
    }
    boolean due =
        nowNanos - lastOwnZoneRequestNanos >= settings.otherRegionHeartbeatIntervalNanos();
    if (!due || !isZoneRepresentative(nowNanos)) {
      return false;
    }
    lastOwnZoneRequestNanos = nowNanos;
    return true;
  }

  /**
   * Returns whether this VM takes over the silent zones that {@code from} reports: those of the
   * representative of its zone, or, on the representative itself, those of the representative of
   * its region.
   */
  private boolean isSilentZoneReporter(long nowNanos, Member from) {
    if (from.zone().equals(self.zone())) {
      return isSameVm(representativeOf(nowNanos), from);
    }
    return from.region().equals(self.region())
        && isZoneRepresentative(nowNanos)
        && from.zone().equals(regionRepresentativeZone(nowNanos));
  }

  private static boolean isSameVm(Optional<Member> representative, Member member) {
    return representative.filter(r -> r.vm().equals(member.vm())).isPresent();
  }

  private void sendSummary(long nowNanos, Member to, List<MemberAction> actions) {
    Long sentNanos = lastSummaryNanos.get(to.vm());
    long minGapNanos = MIN_SUMMARY_GAP_INTERVALS * peers.heartbeatIntervalNanos();
    if (sentNanos != null && nowNanos - sentNanos < minGapNanos) {
      return;
    }
    lastSummaryNanos.put(to.vm(), nowNanos);
    actions.add(new MemberAction.SendMessage(to, digestTable.toSummary()));
  }

  private void applySummary(
      long nowNanos, Member from, MemberMessage.DigestSummary summary, List<MemberAction> actions) {
    List<DigestUpdate> newer = digestTable.updatesFor(summary.versions());
    if (!newer.isEmpty()) {
      actions.add(new MemberAction.SendMessage(from, new MemberMessage.Digests(newer)));
    }
    if (digestTable.lacksAnyOf(summary.versions())) {
      sendSummary(nowNanos, from, actions);
    }
  }

  /**
   * Sends the heartbeats that are due, updates the digest of the own zone and removes VMs that are
   * gone. Must be called periodically.
   */
  public List<MemberAction> tick(long nowNanos) {
    List<MemberAction> actions = new ArrayList<>();
    peers.removeGone(nowNanos);
    refreshOwnDigest(nowNanos);
    List<Member> due = heartbeatSchedule.pollDueTargets(nowNanos, this::targets);
    if (!due.isEmpty()) {
      MemberMessage.Heartbeat heartbeat = heartbeat(nowNanos);
      due.forEach(target -> actions.add(new MemberAction.SendMessage(target, heartbeat)));
    }
    if (nowNanos - lastViewNanos >= settings.minHeartbeatIntervalNanos() / 2) {
      actions.addAll(detectViewChange(nowNanos));
    }
    return actions;
  }

  private MemberMessage.Heartbeat heartbeat(long nowNanos) {
    return new MemberMessage.Heartbeat(
        self.leaving(),
        self.cutOff(),
        configVersion,
        digestTable.hash(),
        ImmutableList.copyOf(silentZones(nowNanos)));
  }

  private HeartbeatSchedule.Targets targets(long nowNanos) {
    List<Member> zonePeers = peers.all().stream().map(PeerState::member).toList();
    List<Member> otherZones = ImmutableList.of();
    List<Member> otherRegions = ImmutableList.of();
    if (isZoneRepresentative(nowNanos)) {
      otherZones = otherZoneTargets(nowNanos);
    }
    if (isRegionRepresentative(nowNanos)) {
      otherRegions = otherRegionTargets(nowNanos);
    }
    return new HeartbeatSchedule.Targets(zonePeers, otherZones, otherRegions);
  }

  private List<Member> otherZoneTargets(long nowNanos) {
    List<Member> targets = new ArrayList<>();
    for (ZoneId zone : zonesOf(self.region())) {
      if (!zone.equals(self.zone())) {
        heartbeatTarget(
                nowNanos,
                zone.value(),
                candidatesOf(zone),
                silentZoneDetector.isZoneSilent(nowNanos, zone))
            .ifPresent(targets::add);
      }
    }
    return targets;
  }

  private List<Member> otherRegionTargets(long nowNanos) {
    List<Member> targets = new ArrayList<>();
    for (RegionId region : regions()) {
      if (!region.equals(self.region())) {
        boolean silent = silentZoneDetector.isRegionSilent(nowNanos, region);
        heartbeatTarget(nowNanos, firstZone(region).value(), candidatesOf(region), silent)
            .ifPresent(targets::add);
      }
    }
    return targets;
  }

  /**
   * Returns the member of a zone or region that gets the heartbeat: its representative. While it is
   * silent, every other heartbeat goes to one of the candidates in turn instead, since another one
   * may have become the representative.
   */
  private Optional<Member> heartbeatTarget(
      long nowNanos, String zone, List<Member> candidates, boolean silent) {
    long turn = nowNanos / settings.otherRegionHeartbeatIntervalNanos();
    if (silent && turn % 2 == 1 && !candidates.isEmpty()) {
      return Optional.of(candidates.get((int) Math.floorMod(turn / 2, (long) candidates.size())));
    }
    List<Member> inZone = candidates.stream().filter(m -> m.zone().value().equals(zone)).toList();
    return Representatives.choose(ranks, zone, inZone.isEmpty() ? candidates : inZone);
  }

  private List<Member> candidatesOf(ZoneId zone) {
    List<Member> fromDigest =
        digestTable.find(zone).stream().flatMap(digest -> digest.members().stream()).toList();
    return fromDigest.isEmpty()
        ? platformVmList.stream().filter(member -> member.zone().equals(zone)).toList()
        : fromDigest;
  }

  private List<Member> candidatesOf(RegionId region) {
    return zonesOf(region).stream().flatMap(zone -> candidatesOf(zone).stream()).toList();
  }

  private ZoneId firstZone(RegionId region) {
    return zonesOf(region).first();
  }

  private ImmutableSortedSet<ZoneId> zonesOf(RegionId region) {
    return zonesByRegion().getOrDefault(region, ImmutableSortedSet.of());
  }

  private ImmutableSet<RegionId> regions() {
    return zonesByRegion().keySet();
  }

  /**
   * Returns the zones of each region, which are recomputed after a digest or the VM list has
   * changed.
   */
  private ImmutableSortedMap<RegionId, ImmutableSortedSet<ZoneId>> zonesByRegion() {
    if (zonesByRegion.isEmpty() || zonesByRegionHash != digestTable.hash()) {
      zonesByRegionHash = digestTable.hash();
      zonesByRegion = Optional.of(groupZonesByRegion());
    }
    return zonesByRegion.orElseThrow();
  }

  private ImmutableSortedMap<RegionId, ImmutableSortedSet<ZoneId>> groupZonesByRegion() {
    TreeMap<RegionId, TreeSet<ZoneId>> zones = new TreeMap<>();
    List<Member> known = new ArrayList<>(platformVmList);
    digestTable.all().values().forEach(digest -> known.addAll(digest.members()));
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
    return Representatives.choose(ranks, self.zone().value(), aliveInZone(nowNanos));
  }

  private boolean isZoneRepresentative(long nowNanos) {
    return isSameVm(representativeOf(nowNanos), self);
  }

  private boolean isRegionRepresentative(long nowNanos) {
    return isZoneRepresentative(nowNanos) && regionRepresentativeZone(nowNanos).equals(self.zone());
  }

  /**
   * Returns the zone whose representative also represents the own region: the first that is not
   * silent.
   */
  private ZoneId regionRepresentativeZone(long nowNanos) {
    return zonesOf(self.region()).stream()
        .filter(
            zone -> zone.equals(self.zone()) || !silentZoneDetector.isZoneSilent(nowNanos, zone))
        .findFirst()
        .orElse(self.zone());
  }

  /** Returns whether this VM polls the platform's rows on behalf of its zone. */
  public boolean isPoller(long nowNanos) {
    return Representatives.isAmongFirst(
        ranks, PLATFORM_POLLERS_PER_ZONE, "poll/" + self.zone(), self, aliveInZone(nowNanos));
  }

  /** Returns whether this VM should fetch the platform's list of entry VMs. */
  public boolean needsVmList(long nowNanos) {
    return platformVmList.isEmpty() || isPoller(nowNanos) || peers.needsVmList(nowNanos);
  }

  private void refreshOwnDigest(long nowNanos) {
    if (nowNanos - lastDigestCheckNanos < settings.digestIntervalNanos()) {
      return;
    }
    lastDigestCheckNanos = nowNanos;
    if (!isZoneRepresentative(nowNanos)) {
      return;
    }
    Optional<ZoneDigest> held = digestTable.find(self.zone());
    ZoneDigest fresh = buildDigest(nowNanos, held.map(ZoneDigest::sequenceNumber).orElse(0L) + 1);
    if (held.filter(fresh::hasSameContentAs).isEmpty()) {
      digestTable.putIfNewer(fresh);
    }
  }

  private ZoneDigest buildDigest(long nowNanos, long sequenceNumber) {
    List<MemberStatus> alive = new ArrayList<>();
    alive.add(new MemberStatus(self, MemberStatus.Liveness.ALIVE, false, configVersion));
    peers.statuses(nowNanos).stream().filter(MemberStatus::isAlive).forEach(alive::add);
    alive.sort(Comparator.comparing(status -> status.member().vm()));
    ConfigVersion newest =
        alive.stream()
            .map(MemberStatus::configVersion)
            .max(Comparator.naturalOrder())
            .orElseThrow();
    List<VmId> outdatedVms =
        alive.stream()
            .filter(status -> !status.configVersion().equals(newest))
            .map(status -> status.member().vm())
            .toList();
    List<Member> members = alive.stream().map(MemberStatus::member).toList();
    return new ZoneDigest(self.zone(), sequenceNumber, newest, outdatedVms, members);
  }

  private ImmutableSet<ZoneId> silentZones(long nowNanos) {
    ImmutableSet.Builder<ZoneId> silent = ImmutableSet.builder();
    boolean zoneRepresentative = isZoneRepresentative(nowNanos);
    boolean regionRepresentative = isRegionRepresentative(nowNanos);
    for (ZoneDigest digest : digestTable.all().values()) {
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
      return silentZoneDetector.isZoneSilent(nowNanos, zone);
    }
    if (regionRepresentative) {
      return silentZoneDetector.isRegionSilent(nowNanos, region);
    }
    return silentZoneDetector.reported().contains(zone);
  }

  /** Returns the current view of this VM. */
  public MemberView view(long nowNanos) {
    List<MemberStatus> statuses = new ArrayList<>();
    statuses.add(new MemberStatus(self, MemberStatus.Liveness.ALIVE, false, configVersion));
    statuses.addAll(peers.statuses(nowNanos));
    ImmutableSet<ZoneId> silent = silentZones(nowNanos);
    for (ZoneDigest digest : digestTable.all().values()) {
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
    return new MemberStatus(member, liveness, false, digest.configVersionOf(member));
  }

  private List<MemberAction> detectViewChange(long nowNanos) {
    lastViewNanos = nowNanos;
    int hash = view(nowNanos).hashCode();
    if (hash == lastViewHash) {
      return ImmutableList.of();
    }
    lastViewHash = hash;
    return ImmutableList.of(new MemberAction.ViewChanged());
  }
}
