package org.mustardstage.core.manifest;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.RegionId;

/**
 * A block of caller addresses and the region closest to it.
 *
 * @param firstAddress the first IPv4 address of the block, as an unsigned 32-bit number
 * @param prefixLengthBits the number of leading bits that the addresses share
 * @param region the region closest to the callers
 */
public record CallerBlock(long firstAddress, int prefixLengthBits, RegionId region) {
  private static final int ADDRESS_BITS = 32;

  /** Checks that the block is a valid IPv4 prefix. */
  public CallerBlock {
    Preconditions.checkArgument(
        prefixLengthBits >= 0 && prefixLengthBits <= ADDRESS_BITS, "prefix length out of range");
    long hostMask = (1L << (ADDRESS_BITS - prefixLengthBits)) - 1;
    Preconditions.checkArgument((firstAddress & hostMask) == 0, "address has bits past the prefix");
    Preconditions.checkArgument(firstAddress >>> ADDRESS_BITS == 0, "address is not 32 bits");
  }

  /** Returns the last IPv4 address of the block, as an unsigned 32-bit number. */
  public long lastAddress() {
    return firstAddress | ((1L << (ADDRESS_BITS - prefixLengthBits)) - 1);
  }

  /** Returns the block written as {@code address/prefixLength}. */
  public String prefix() {
    return (firstAddress >>> 24)
        + "."
        + (firstAddress >>> 16 & 0xff)
        + "."
        + (firstAddress >>> 8 & 0xff)
        + "."
        + (firstAddress & 0xff)
        + "/"
        + prefixLengthBits;
  }
}
