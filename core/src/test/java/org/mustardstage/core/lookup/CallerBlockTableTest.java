package org.mustardstage.core.lookup;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.manifest.CallerBlock;

/**
 * Checks the search of caller blocks, which compares addresses stored in signed ints as unsigned
 * numbers.
 */
class CallerBlockTableTest {
  private static final RegionId FIRST = new RegionId("first");
  private static final RegionId SECOND = new RegionId("second");

  @Test
  void addressInsideABlockMapsToItsRegion() {
    CallerBlockTable table = CallerBlockTable.of(List.of(block(0x0a000000L, 8, FIRST)));
    assertRegion(table, 0x0a010203, FIRST);
  }

  @Test
  void addressOutsideEveryBlockMapsToNoRegion() {
    CallerBlockTable table = CallerBlockTable.of(List.of(block(0x0a000000L, 8, FIRST)));
    assertThat(table.findRegion(0x0b000000), equalTo(CallerBlockTable.NO_REGION));
    assertThat(table.findRegion(0x09ffffff), equalTo(CallerBlockTable.NO_REGION));
  }

  @Test
  void addressesAreComparedAsUnsigned() {
    CallerBlockTable table =
        CallerBlockTable.of(List.of(block(0xc0000000L, 8, SECOND), block(0x0a000000L, 8, FIRST)));
    assertRegion(table, 0xc0000001, SECOND);
    assertRegion(table, 0x0a000001, FIRST);
  }

  @Test
  void matchesALinearSearch() {
    SplittableRandom random = new SplittableRandom(1);
    List<CallerBlock> blocks = new ArrayList<>();
    for (long start = 0; start < 1L << 32; start += 1L << 20) {
      if (random.nextInt(3) > 0) {
        blocks.add(block(start, 12 + random.nextInt(8), random.nextBoolean() ? FIRST : SECOND));
      }
    }
    CallerBlockTable table = CallerBlockTable.of(blocks);
    for (int i = 0; i < 2_000; i++) {
      int address = random.nextInt();
      assertThat(regionOf(table, address), equalTo(searchLinearly(blocks, address)));
    }
  }

  private static RegionId searchLinearly(List<CallerBlock> blocks, int address) {
    long unsigned = Integer.toUnsignedLong(address);
    return blocks.stream()
        .filter(b -> b.firstAddress() <= unsigned && unsigned <= b.lastAddress())
        .map(CallerBlock::region)
        .findFirst()
        .orElse(null);
  }

  private static RegionId regionOf(CallerBlockTable table, int address) {
    int index = table.findRegion(address);
    return index == CallerBlockTable.NO_REGION ? null : table.regions().get(index);
  }

  private static void assertRegion(CallerBlockTable table, int address, RegionId region) {
    assertThat(regionOf(table, address), equalTo(region));
  }

  private static CallerBlock block(long firstAddress, int prefixLengthBits, RegionId region) {
    return new CallerBlock(firstAddress, prefixLengthBits, region);
  }
}
