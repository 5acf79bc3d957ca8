package org.mustardstage.core.member;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.id.VmId;

/**
 * The hashes by which VMs are ranked for a role. Keeps them, as the same ones are asked for with
 * each heartbeat. Not safe for use by several threads.
 */
public final class MemberRanks {
  /** Bounds the memory of the kept hashes, which are dropped when there are more. */
  private static final int MAX_KEPT_RANKS = 10_000;

  private final Map<Role, Long> ranks = new HashMap<>();

  private record Role(String group, VmId vm) {}

  long rank(String group, VmId vm) {
    if (ranks.size() >= MAX_KEPT_RANKS) {
      ranks.clear();
    }
    return ranks.computeIfAbsent(new Role(group, vm), MemberRanks::compute);
  }

  private static long compute(Role role) {
    return Hashing.murmur3_128()
        .hashString(role.group() + "/" + role.vm().value(), StandardCharsets.UTF_8)
        .asLong();
  }
}
