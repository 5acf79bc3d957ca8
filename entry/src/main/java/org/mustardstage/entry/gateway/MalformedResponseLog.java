package org.mustardstage.entry.gateway;

import java.net.InetSocketAddress;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/**
 * Logs and counts the responses that were given up as they are malformed or hold too much memory.
 *
 * @param peers what responds on the connections
 * @param metrics counts the responses
 */
record MalformedResponseLog(Peers peers, GatewayMetrics metrics) {
  /** What responds on a connection. */
  enum Peers {
    ENDPOINTS,
    VMS
  }

  /**
   * Records a response that was given up.
   *
   * @param requestId the id of the request; empty for a health check
   * @param problem what was found and what was expected
   */
  void record(InetSocketAddress peer, String requestId, String problem) {
    metrics.recordMalformedResponse(peers);
    EventLog.log(
        Event.MALFORMED_RESPONSE,
        "peer",
        peer.getHostString() + ":" + peer.getPort(),
        "request",
        requestId,
        "problem",
        problem);
  }
}
