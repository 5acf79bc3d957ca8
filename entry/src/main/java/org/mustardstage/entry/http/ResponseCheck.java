package org.mustardstage.entry.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.MalformedHttpException;
import io.activej.net.socket.tcp.TcpSocket;
import java.util.Optional;
import org.mustardstage.core.http.MalformedResponseException;
import org.mustardstage.core.http.ResponseLimits;
import org.mustardstage.core.http.ResponseParser;
import org.mustardstage.entry.http.MalformedResponses.Peers;

/**
 * Checks the bytes of one connection before the HTTP client of the library gets them. If they are
 * no response, the connection is closed instead, and the request on it fails with a {@link
 * MalformedHttpException}. The check keeps no body.
 */
public final class ResponseCheck {
  private final Peers peers;
  private final ResponseLimits limits;

  /** The parser of the response that is awaited; empty if no request is in flight. */
  private Optional<ResponseParser> parser = Optional.empty();

  private String requestId = "";
  private boolean extraBytes;

  /** Creates a check of a connection without a request, which leads to one of {@code peers}. */
  public ResponseCheck(Peers peers, ResponseLimits limits) {
    this.peers = peers;
    this.limits = limits;
  }

  /**
   * Expects the response to a request that is about to be sent.
   *
   * @param newRequestId the id of the request for the log; may be empty
   * @param withoutBody whether the response has no body whatever its headers say
   */
  public void beginRequest(String newRequestId, boolean withoutBody) {
    requestId = newRequestId;
    parser = Optional.of(new ResponseParser(limits, withoutBody));
  }

  /** Returns whether a request has been sent whose response is incomplete. */
  public boolean isInFlight() {
    return parser.isPresent();
  }

  /** Returns whether bytes arrived after a response, so that the connection can't be reused. */
  public boolean hasExtraBytes() {
    return extraBytes;
  }

  /**
   * Checks bytes that were read. Closes {@code socket} if they are no part of a response, and
   * withholds those that follow one, as the client would take them for the next one.
   */
  public void onRead(TcpSocket socket, ByteBuf buf) {
    if (parser.isEmpty()) {
      extraBytes = true;
      MalformedResponses.recordExtra(
          peers, socket.getRemoteAddress(), "", buf.readRemaining() + " bytes");
      socket.closeEx(new MalformedHttpException("bytes arrived without a request"));
      return;
    }
    ResponseParser current = parser.get();
    current.add(buf.array(), buf.head(), buf.readRemaining());
    try {
      if (current.next().isPresent()) {
        extraBytes = current.hasUnconsumedBytes();
        buf.moveTail(-current.unparsedBytes());
        parser = Optional.empty();
      } else {
        current.dropBody();
      }
    } catch (MalformedResponseException e) {
      parser = Optional.empty();
      MalformedResponses.record(peers, socket.getRemoteAddress(), requestId, e.getMessage());
      socket.closeEx(new MalformedHttpException(e.getMessage(), e));
    }
  }
}
