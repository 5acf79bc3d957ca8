package org.mustardstage.core.lookup;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.mustardstage.core.member.Member;

/**
 * Assigns the callers of one region to entry VMs. Callers fall into buckets by a hash of their
 * block; each bucket gets a short list of VMs by rendezvous hashing with a bound on the load of
 * each VM, so that the buckets are spread evenly and few of them change when a VM comes or goes.
 */
public final class CallerAssignment {
  /** The number of buckets of a region. */
  public static final int BUCKETS = 1024;

  /** The number of entry VMs in an answer, when there are as many. */
  public static final int VMS_PER_RESPONSE = 3;

  private static final long INDEX_MASK = 0xFFFF;

  private final ImmutableList<Member> members;
  private final ImmutableList<ImmutableList<Member>> buckets;

  private CallerAssignment(ImmutableList<Member> members, ImmutableList<ImmutableList<Member>> buckets) {
    this.members = members;
    this.buckets = buckets;
  }

  /** Returns the assignment to {@code members}, which must not be empty. */
  public static CallerAssignment of(List<Member> members) {
    int perAnswer = Math.min(VMS_PER_RESPONSE, members.size());
    int[] firstLoads = new int[members.size()];
    int[] loads = new int[members.size()];
    int firstBound = ceilDivide(BUCKETS, members.size());
    int bound = ceilDivide(BUCKETS * perAnswer, members.size());
    long[] keys = members.stream().mapToLong(m -> mix(m.vm().value().hashCode())).toArray();
    ImmutableList.Builder<ImmutableList<Member>> buckets = ImmutableList.builder();
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      int[] order = rankVms(bucket, keys);
      buckets.add(chooseVms(members, order, perAnswer, firstLoads, firstBound, loads, bound));
    }
    return new CallerAssignment(ImmutableList.copyOf(members), buckets.build());
  }

  /** Returns the indexes of the VMs in the order in which the bucket prefers them. */
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
      int perAnswer,
      int[] firstLoads,
      int firstBound,
      int[] loads,
      int bound) {
    List<Integer> chosen = new ArrayList<>(perAnswer);
    int first = firstWithLoadBelow(order, firstLoads, firstBound);
    firstLoads[first]++;
    loads[first]++;
    chosen.add(first);
    addMoreChoices(chosen, order, perAnswer, loads, bound);
    addMoreChoices(chosen, order, perAnswer, loads, Integer.MAX_VALUE);
    return chosen.stream().map(members::get).collect(ImmutableList.toImmutableList());
  }

  private static void addMoreChoices(
      List<Integer> chosen, int[] order, int perAnswer, int[] loads, int bound) {
    for (int i = 0; i < order.length && chosen.size() < perAnswer; i++) {
      if (loads[order[i]] < bound && !chosen.contains(order[i])) {
        loads[order[i]]++;
        chosen.add(order[i]);
      }
    }
  }

  private static int firstWithLoadBelow(int[] order, int[] loads, int bound) {
    for (int candidate : order) {
      if (loads[candidate] < bound) {
        return candidate;
      }
    }
    throw new IllegalStateException("the bounds of all VMs add up to at least all buckets");
  }

  /** Returns the VMs that the callers are assigned to. */
  public ImmutableList<Member> members() {
    return members;
  }

  /**
   * Returns the VMs for the callers whose block starts at {@code blockStart}, first choice first.
   */
  public ImmutableList<Member> vmsFor(int blockStart) {
    return buckets.get(bucketOf(blockStart));
  }

  /** Returns the bucket of the callers whose block starts at {@code blockStart}. */
  public static int bucketOf(int blockStart) {
    return (int) (mix(blockStart) & (BUCKETS - 1));
  }

  private static int ceilDivide(int dividend, int divisor) {
    return (dividend + divisor - 1) / divisor;
  }

  /** Mixes the bits of {@code value}; the finalizer of MurmurHash3 for 64 bits. */
  private static long mix(long value) {
    long mixed = value + 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
