package org.mustardstage.core.http;

import com.google.common.base.Preconditions;
import com.google.common.hash.BloomFilter;
import com.google.common.hash.Funnels;
import java.nio.charset.StandardCharsets;

/**
 * The ids of the requests that one connection has carried, each at most once.
 *
 * <p>A faulty server may write a response again at any later time, and only the id tells which
 * request a response belongs to. While no id is sent twice over a connection, a response with the
 * id of the request in flight is the response to it.
 */
public final class CarriedRequestIds {
  private static final int MAX_IDS = 2_048;
  private static final double MAX_FALSE_POSITIVES = 1e-4;

  private final BloomFilter<CharSequence> ids =
      BloomFilter.create(
          Funnels.stringFunnel(StandardCharsets.UTF_8), MAX_IDS, MAX_FALSE_POSITIVES);
  private int count;

  /**
   * Returns whether the connection may carry a request with this id. Never true for an id that it
   * has carried, and false for very few others.
   */
  public boolean allows(String id) {
    return !isFull() && !ids.mightContain(id);
  }

  /**
   * Records that the connection carries a request with this id.
   *
   * @throws IllegalStateException if {@link #allows} is false for the id
   */
  public void record(String id) {
    Preconditions.checkState(
        allows(id), "connection that has carried %s requests must not carry id %s", count, id);
    ids.put(id);
    count++;
  }

  /** Returns whether no more ids can be told apart, so that the connection must be replaced. */
  public boolean isFull() {
    return count >= MAX_IDS;
  }
}
