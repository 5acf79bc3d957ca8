package org.mustardstage.core.lookup;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.member.Member;

/**
 * Maps caller addresses to the entry VMs that the callers should use. Instances are immutable: a
 * new table is built when a configuration is activated or the set of VMs changes.
 */
public final class LookupTable {
  private final ConfigVersion version;
  private final CallerBlockTable blocks;
  private final RegionId ownRegion;
  private final ImmutableMap<RegionId, CallerAssignment> assignments;
  private final ImmutableList<Optional<CallerAssignment>> assignmentsByRegionIndex;
  private final Optional<CallerAssignment> fallback;

  private LookupTable(
      ConfigVersion version,
      CallerBlockTable blocks,
      RegionId ownRegion,
      ImmutableMap<RegionId, CallerAssignment> assignments,
      Optional<CallerAssignment> fallback) {
    this.version = version;
    this.blocks = blocks;
    this.ownRegion = ownRegion;
    this.assignments = assignments;
    this.fallback = fallback;
    this.assignmentsByRegionIndex =
        blocks.regions().stream()
            .map(region -> Optional.ofNullable(assignments.get(region)).or(() -> fallback))
            .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns a table for {@code members}.
   *
   * @param version the configuration version that defines the blocks
   * @param blocks the blocks of caller addresses
   * @param ownRegion the region of this VM, used for callers in no block
   * @param members the VMs that callers may be directed to
   * @param previous a table whose assignments are reused for regions with unchanged VMs
   */
  public static LookupTable of(
      ConfigVersion version,
      CallerBlockTable blocks,
      RegionId ownRegion,
      List<Member> members,
      Optional<LookupTable> previous) {
    Map<RegionId, List<Member>> byRegion = new HashMap<>();
    for (Member member : members) {
      byRegion.computeIfAbsent(member.region(), key -> new ArrayList<>()).add(member);
    }
    ImmutableMap.Builder<RegionId, CallerAssignment> assignments = ImmutableMap.builder();
    byRegion.forEach(
        (region, list) -> assignments.put(region, reuseOrCreate(previous, region, list)));
    ImmutableMap<RegionId, CallerAssignment> assignmentsByRegion = assignments.buildOrThrow();
    return new LookupTable(
        version,
        blocks,
        ownRegion,
        assignmentsByRegion,
        fallback(assignmentsByRegion, ownRegion, members));
  }

  private static CallerAssignment reuseOrCreate(
      Optional<LookupTable> previous, RegionId region, List<Member> members) {
    return previous
        .map(table -> table.assignments.get(region))
        .filter(assignment -> assignment.members().equals(members))
        .orElseGet(() -> CallerAssignment.of(members));
  }

  private static Optional<CallerAssignment> fallback(
      ImmutableMap<RegionId, CallerAssignment> assignments,
      RegionId ownRegion,
      List<Member> members) {
    Optional<CallerAssignment> own = Optional.ofNullable(assignments.get(ownRegion));
    return own.or(
        () -> members.isEmpty() ? Optional.empty() : Optional.of(CallerAssignment.of(members)));
  }

  /** Returns the configuration version that the table is built from. */
  public ConfigVersion version() {
    return version;
  }

  /**
   * Returns the VMs that a caller at {@code address} should use, in order of preference; empty when
   * no VM is known.
   */
  public ImmutableList<Member> find(int address) {
    int regionIndex = blocks.findRegion(address);
    Optional<CallerAssignment> assignment =
        regionIndex == CallerBlockTable.NO_REGION
            ? fallback
            : assignmentsByRegionIndex.get(regionIndex);
    return assignment.map(a -> a.vmsFor(blocks.findBlockStart(address))).orElse(ImmutableList.of());
  }

  /** Returns the reason for the result of {@link #find} for {@code address}. */
  public LookupReason explain(int address) {
    int regionIndex = blocks.findRegion(address);
    if (regionIndex == CallerBlockTable.NO_REGION) {
      return new LookupReason.NotInAnyBlock(ownRegion);
    }
    RegionId region = blocks.regions().get(regionIndex);
    return assignments.containsKey(region)
        ? new LookupReason.ClosestRegion(region)
        : new LookupReason.RegionHasNoVms(region, ownRegion);
  }
}
