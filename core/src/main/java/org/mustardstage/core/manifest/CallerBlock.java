package org.mustardstage.core.manifest;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.RegionId;

/**
 * A block of caller addresses with the region closest to them.
 *
 * @param firstAddress the first IPv4 address of the block, as an unsigned 32-bit number
 * @param prefixLengthBits the number of leading bits that all addresses of the block share
 * @param region the region closest to the callers
 */
public record CallerBlock(long firstAddress, int prefixLengthBits, RegionId region) {
  private static final int ADDRESS_BITS = 32;

  /** Checks that the block is a valid IPv4 prefix. */
  public CallerBlock {
    Preconditions.checkArgument(
        prefixLengthBits >= 0 && prefixLengthBits <= ADDRESS_BITS,
        "prefixLengthBits must be from 0 to 32");
    long hostMask = (1L << (ADDRESS_BITS - prefixLengthBits)) - 1;
    Preconditions.checkArgument(
        (firstAddress & hostMask) == 0, "firstAddress has bits set after the prefix");
    Preconditions.checkArgument(
        firstAddress >>> ADDRESS_BITS == 0, "firstAddress is longer than 32 bits");
  }

  /** Returns the last IPv4 address of the block, as an unsigned 32-bit number. */
  public long lastAddress() {
    return firstAddress | ((1L << (ADDRESS_BITS - prefixLengthBits)) - 1);
  }

  /** Returns the block in CIDR notation, as {@code address/prefixLength}. */
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
