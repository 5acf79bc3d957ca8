package org.mustardstage.entry.http;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.concurrent.atomic.LongAdder;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/**
 * Logs and counts, for the whole process, the responses that were given up as they are malformed or
 * hold too much memory, and those that no request awaited. Safe on any thread.
 */
public final class MalformedResponses {
  private static final ImmutableMap<Peers, LongAdder> COUNTS = newCounts();
  private static final ImmutableMap<Peers, LongAdder> EXTRA_COUNTS = newCounts();

  private MalformedResponses() {}

  /** What responds on a connection. */
  public enum Peers {
    /** Endpoints of services. */
    ENDPOINTS,
    /** Other entry VMs. */
    VMS,
    /** The services of the platform. */
    PLATFORM;

    /** Returns the label of a metric. */
    public String label() {
      return Ascii.toLowerCase(name());
    }
  }

  /**
   * Records a response that was given up.
   *
   * @param requestId the id of the request; empty if it has none
   * @param problem what was found and what was expected
   */
  public static void record(Peers peers, InetSocketAddress peer, String requestId, String problem) {
    COUNTS.get(peers).increment();
    EventLog.log(
        Event.MALFORMED_RESPONSE, "peer", describe(peer), "request", requestId, "problem", problem);
  }

  /**
   * Records that something arrived on a connection although another response was due, or none. Each
   * connection records it once, as it ends for it.
   *
   * @param requestId the id of the request in flight; empty if there is none
   * @param found what arrived
   */
  public static void recordExtra(
      Peers peers, InetSocketAddress peer, String requestId, String found) {
    EXTRA_COUNTS.get(peers).increment();
    EventLog.log(
        Event.EXTRA_RESPONSE, "peer", describe(peer), "request", requestId, "found", found);
  }

  /** Returns how many responses were given up since the process started. */
  public static long count(Peers peers) {
    return COUNTS.get(peers).sum();
  }

  /** Returns on how many connections something arrived that was not awaited. */
  public static long extraCount(Peers peers) {
    return EXTRA_COUNTS.get(peers).sum();
  }

  private static ImmutableMap<Peers, LongAdder> newCounts() {
    return Maps.toMap(EnumSet.allOf(Peers.class), peers -> new LongAdder());
  }

  private static String describe(InetSocketAddress peer) {
    return InetAddresses.toUriString(peer.getAddress()) + ":" + peer.getPort();
  }
}
