package org.mustardstage.entry.gateway;

import io.activej.bytebuf.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Bytes in the order in which they arrived. Small reads are joined into blocks, so that the memory
 * that is held is not much larger than the number of bytes.
 */
final class ByteBlocks {
  private static final int BLOCK_BYTES = 16 << 10;

  private final Deque<Block> blocks = new ArrayDeque<>();

  private static final class Block {
    private final byte[] bytes;
    private int size;

    Block(int capacity) {
      bytes = new byte[capacity];
    }
  }

  /** Appends a copy of {@code size} bytes. */
  void add(byte[] bytes, int offset, int size) {
    int position = offset;
    int end = offset + size;
    while (position < end) {
      Block last = blocks.peekLast();
      if (last == null || last.size == last.bytes.length) {
        last = new Block(Math.max(BLOCK_BYTES, end - position));
        blocks.addLast(last);
      }
      int copied = Math.min(end - position, last.bytes.length - last.size);
      System.arraycopy(bytes, position, last.bytes, last.size, copied);
      last.size += copied;
      position += copied;
    }
  }

  /** Removes and returns the first block, or nothing if there are no bytes. */
  Optional<ByteBuf> poll() {
    return Optional.ofNullable(blocks.pollFirst())
        .map(block -> ByteBuf.wrap(block.bytes, 0, block.size));
  }

  /** Removes and returns all bytes. */
  byte[] takeAll() {
    byte[] all = new byte[blocks.stream().mapToInt(block -> block.size).sum()];
    int position = 0;
    for (Block block : blocks) {
      System.arraycopy(block.bytes, 0, all, position, block.size);
      position += block.size;
    }
    blocks.clear();
    return all;
  }

  /** Removes all bytes. */
  void clear() {
    blocks.clear();
  }
}
