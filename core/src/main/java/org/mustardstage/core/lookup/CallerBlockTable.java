package org.mustardstage.core.lookup;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.manifest.CallerBlock;

/**
 * Maps the address of a caller to its closest region. Blocks are kept in sorted primitive arrays,
 * which take 10 bytes per block.
 */
public final class CallerBlockTable {
  /** The region index of addresses that lie in no block. */
  public static final int NO_REGION = -1;

  private final int[] firstAddresses;
  private final int[] lastAddresses;
  private final short[] regionIndexes;
  private final ImmutableList<RegionId> regions;

  private CallerBlockTable(
      int[] firstAddresses,
      int[] lastAddresses,
      short[] regionIndexes,
      ImmutableList<RegionId> regions) {
    this.firstAddresses = firstAddresses;
    this.lastAddresses = lastAddresses;
    this.regionIndexes = regionIndexes;
    this.regions = regions;
  }

  /** Returns a table of {@code blocks}, which must not overlap. */
  public static CallerBlockTable of(List<CallerBlock> blocks) {
    List<CallerBlock> sorted = new ArrayList<>(blocks);
    sorted.sort(Comparator.comparingLong(CallerBlock::firstAddress));
    Map<RegionId, Short> indexes = new LinkedHashMap<>();
    int[] first = new int[sorted.size()];
    int[] last = new int[sorted.size()];
    short[] region = new short[sorted.size()];
    for (int i = 0; i < sorted.size(); i++) {
      CallerBlock block = sorted.get(i);
      first[i] = (int) block.firstAddress();
      last[i] = (int) block.lastAddress();
      region[i] = indexes.computeIfAbsent(block.region(), key -> (short) indexes.size());
    }
    return new CallerBlockTable(first, last, region, ImmutableList.copyOf(indexes.keySet()));
  }

  /** Returns the number of blocks. */
  public int size() {
    return firstAddresses.length;
  }

  /** Returns the regions; their positions are the indexes that {@link #findRegion} returns. */
  public ImmutableList<RegionId> regions() {
    return regions;
  }

  /** Returns the index of the region closest to {@code address}, or {@link #NO_REGION}. */
  public int findRegion(int address) {
    int block = findBlock(address);
    return block < 0 ? NO_REGION : regionIndexes[block];
  }

  /**
   * Returns the first address of the block that contains {@code address}, or {@code address} if
   * none does.
   */
  public int findBlockStart(int address) {
    int block = findBlock(address);
    return block < 0 ? address : firstAddresses[block];
  }

  private int findBlock(int address) {
    int low = 0;
    int high = firstAddresses.length - 1;
    while (low <= high) {
      int middle = (low + high) >>> 1;
      if (Integer.compareUnsigned(firstAddresses[middle], address) <= 0) {
        low = middle + 1;
      } else {
        high = middle - 1;
      }
    }
    boolean inside = high >= 0 && Integer.compareUnsigned(address, lastAddresses[high]) <= 0;
    return inside ? high : -1;
  }
}
