package org.mustardstage.core.lookup;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.mustardstage.core.member.Member;

/**
 * Assigns the callers of one region to entry VMs. The address block of a caller is hashed to a
 * bucket. Each bucket gets a short list of VMs by rendezvous hashing with bounded loads: the load
 * of each VM is limited so that buckets are spread evenly, and few buckets change when a VM is
 * added or removed.
 */
public final class CallerAssignment {
  /** The number of buckets of a region. */
  public static final int BUCKETS = 1024;

  /** The number of entry VMs in a lookup response, if the region has that many. */
  public static final int VMS_PER_RESPONSE = 3;

  private static final long INDEX_MASK = 0xFFFF;

  private final ImmutableList<Member> members;
  private final ImmutableList<ImmutableList<Member>> buckets;

  private CallerAssignment(
      ImmutableList<Member> members, ImmutableList<ImmutableList<Member>> buckets) {
    this.members = members;
    this.buckets = buckets;
  }

  /** Returns the assignment of all buckets to {@code members}, which must not be empty. */
  public static CallerAssignment of(List<Member> members) {
    int vmsPerBucket = Math.min(VMS_PER_RESPONSE, members.size());
    int[] firstChoiceLoads = new int[members.size()];
    int[] loads = new int[members.size()];
    int maxFirstChoiceLoad = ceilDivide(BUCKETS, members.size());
    int maxLoad = ceilDivide(BUCKETS * vmsPerBucket, members.size());
    long[] keys = members.stream().mapToLong(m -> mix(m.vm().value().hashCode())).toArray();
    ImmutableList.Builder<ImmutableList<Member>> buckets = ImmutableList.builder();
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      int[] order = rankVms(bucket, keys);
      buckets.add(
          chooseVms(
              members, order, vmsPerBucket, firstChoiceLoads, maxFirstChoiceLoad, loads, maxLoad));
    }
    return new CallerAssignment(ImmutableList.copyOf(members), buckets.build());
  }

  /** Returns the indexes of the VMs in the order of preference of {@code bucket}. */
  private static int[] rankVms(int bucket, long[] keys) {
    long[] ranks = new long[keys.length];
    for (int i = 0; i < keys.length; i++) {
      ranks[i] = (mix(keys[i] + bucket) & ~INDEX_MASK) | i;
    }
    Arrays.sort(ranks);
    int[] order = new int[keys.length];
    for (int i = 0; i < keys.length; i++) {
      order[i] = (int) (ranks[i] & INDEX_MASK);
    }
    return order;
  }

  private static ImmutableList<Member> chooseVms(
      List<Member> members,
      int[] order,
      int vmsPerBucket,
      int[] firstChoiceLoads,
      int maxFirstChoiceLoad,
      int[] loads,
      int maxLoad) {
    List<Integer> chosen = new ArrayList<>(vmsPerBucket);
    int firstChoice = firstWithLoadBelow(order, firstChoiceLoads, maxFirstChoiceLoad);
    firstChoiceLoads[firstChoice]++;
    loads[firstChoice]++;
    chosen.add(firstChoice);
    addMoreChoices(chosen, order, vmsPerBucket, loads, maxLoad);
    addMoreChoices(chosen, order, vmsPerBucket, loads, Integer.MAX_VALUE);
    return chosen.stream().map(members::get).collect(ImmutableList.toImmutableList());
  }

  private static void addMoreChoices(
      List<Integer> chosen, int[] order, int vmsPerBucket, int[] loads, int maxLoad) {
    for (int i = 0; i < order.length && chosen.size() < vmsPerBucket; i++) {
      if (loads[order[i]] < maxLoad && !chosen.contains(order[i])) {
        loads[order[i]]++;
        chosen.add(order[i]);
      }
    }
  }

  private static int firstWithLoadBelow(int[] order, int[] loads, int maxLoad) {
    for (int candidate : order) {
      if (loads[candidate] < maxLoad) {
        return candidate;
      }
    }
    throw new IllegalStateException(
        "the load limits of all VMs add up to fewer than the number of buckets");
  }

  /** Returns the VMs that callers are assigned to. */
  public ImmutableList<Member> members() {
    return members;
  }

  /**
   * Returns the VMs for callers whose block starts at {@code blockStart}, in order of preference.
   */
  public ImmutableList<Member> vmsFor(int blockStart) {
    return buckets.get(bucketOf(blockStart));
  }

  /** Returns the bucket of callers whose block starts at {@code blockStart}. */
  public static int bucketOf(int blockStart) {
    return (int) (mix(blockStart) & (BUCKETS - 1));
  }

  private static int ceilDivide(int dividend, int divisor) {
    return (dividend + divisor - 1) / divisor;
  }

  /** Mixes the bits of {@code value} with the 64-bit finalizer of MurmurHash3. */
  private static long mix(long value) {
    long mixed = value + 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
