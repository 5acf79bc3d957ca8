package org.mustardstage.core.permit;

import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableList;
import java.util.List;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/**
 * The owners of the permits of a zone, as stored in the ownership row of the zone. The permits are
 * hashed into a fixed number of parts (shards), and each part has one owner.
 *
 * @param zone the zone
 * @param revision the revision of the row; 0 if the row is absent
 * @param owners the owner of each part; empty if the row is absent
 */
public record OwnershipList(ZoneId zone, long revision, List<VmIncarnation> owners) {
  /** The number of parts of a zone. */
  public static final int PART_COUNT = 64;

  private static final int HASH_MULTIPLIER = 0x9E3779B1;
  private static final int PART_STRIDE = 37;
  private static final int HASH_SHIFT_BITS = 16;

  /** Checks that every part has an owner, or that the row is absent. */
  public OwnershipList {
    owners = ImmutableList.copyOf(owners);
    Preconditions.checkArgument(revision >= 0, "revision must not be negative: %s", revision);
    Preconditions.checkArgument(
        owners.size() == (revision == 0 ? 0 : PART_COUNT),
        "wrong number of owners for the revision: %s",
        owners.size());
  }

  /** Returns the list of a zone whose row is absent. */
  public static OwnershipList absent(ZoneId zone) {
    return new OwnershipList(zone, 0, ImmutableList.of());
  }

  /** Returns the part of permit {@code number} of {@code limit}. */
  public static int partOf(LimitId limit, int number) {
    int hash = limit.hashCode() * HASH_MULTIPLIER;
    int start = (hash ^ (hash >>> HASH_SHIFT_BITS)) & (PART_COUNT - 1);
    return partAt(start, number);
  }

  /** Returns the part of permit {@code number} of a limit whose permit 0 is in {@code start}. */
  static int partAt(int start, int number) {
    return (start + number * PART_STRIDE) & (PART_COUNT - 1);
  }

  /** Returns whether {@code vm} owns {@code part}. */
  public boolean isOwner(VmIncarnation vm, int part) {
    return revision > 0 && owners.get(part).equals(vm);
  }
}
