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
 * Answers which entry VMs a caller should use. It never changes: a new table is made when a
 * manifest takes force or a VM comes or goes.
 */
public final class LookupTable {
  private final ConfigVersion version;
  private final BlockTable blocks;
  private final RegionId ownRegion;
  private final ImmutableMap<RegionId, Assignment> assignments;
  private final ImmutableList<Optional<Assignment>> byRegionIndex;
  private final Optional<Assignment> fallback;

  private LookupTable(
      ConfigVersion version,
      BlockTable blocks,
      RegionId ownRegion,
      ImmutableMap<RegionId, Assignment> assignments,
      Optional<Assignment> fallback) {
    this.version = version;
    this.blocks = blocks;
    this.ownRegion = ownRegion;
    this.assignments = assignments;
    this.fallback = fallback;
    this.byRegionIndex =
        blocks.regions().stream()
            .map(region -> Optional.ofNullable(assignments.get(region)).or(() -> fallback))
            .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns a table.
   *
   * @param version the version of the manifest that gave the blocks
   * @param blocks the blocks of caller addresses
   * @param ownRegion the region of this VM, used for callers in no block
   * @param members the VMs that may be named in answers
   * @param earlier a table from which the regions whose VMs are the same are taken over
   */
  public static LookupTable of(
      ConfigVersion version,
      BlockTable blocks,
      RegionId ownRegion,
      List<Member> members,
      Optional<LookupTable> earlier) {
    Map<RegionId, List<Member>> byRegion = new HashMap<>();
    for (Member member : members) {
      byRegion.computeIfAbsent(member.region(), key -> new ArrayList<>()).add(member);
    }
    ImmutableMap.Builder<RegionId, Assignment> assignments = ImmutableMap.builder();
    byRegion.forEach((region, list) -> assignments.put(region, reuse(earlier, region, list)));
    ImmutableMap<RegionId, Assignment> built = assignments.buildOrThrow();
    return new LookupTable(version, blocks, ownRegion, built, fallback(built, ownRegion, members));
  }

  private static Assignment reuse(
      Optional<LookupTable> earlier, RegionId region, List<Member> members) {
    return earlier
        .map(table -> table.assignments.get(region))
        .filter(assignment -> assignment.members().equals(members))
        .orElseGet(() -> Assignment.of(members));
  }

  private static Optional<Assignment> fallback(
      ImmutableMap<RegionId, Assignment> assignments, RegionId ownRegion, List<Member> members) {
    Optional<Assignment> own = Optional.ofNullable(assignments.get(ownRegion));
    return own.or(() -> members.isEmpty() ? Optional.empty() : Optional.of(Assignment.of(members)));
  }

  /** Returns the version of the manifest that the answers rest on. */
  public ConfigVersion version() {
    return version;
  }

  /**
   * Returns the VMs that a caller at {@code address} should use, first choice first; empty when no
   * VM is known.
   */
  public ImmutableList<Member> find(int address) {
    int regionIndex = blocks.findRegion(address);
    Optional<Assignment> assignment =
        regionIndex == BlockTable.NO_REGION ? fallback : byRegionIndex.get(regionIndex);
    return assignment.map(a -> a.vmsFor(blocks.findBlockStart(address))).orElse(ImmutableList.of());
  }

  /** Returns why {@link #find} answers as it does for {@code address}. */
  public LookupReason explain(int address) {
    int regionIndex = blocks.findRegion(address);
    if (regionIndex == BlockTable.NO_REGION) {
      return new LookupReason.NotInAnyBlock(ownRegion);
    }
    RegionId region = blocks.regions().get(regionIndex);
    return assignments.containsKey(region)
        ? new LookupReason.ClosestRegion(region)
        : new LookupReason.RegionHasNoVms(region, ownRegion);
  }
}
