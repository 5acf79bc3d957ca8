package org.mustardstage.entry.traffic;

import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.util.Comparator;

/** The state of one open caller connection: its phase, its timers and its disconnect handler. */
public final class CallerConnection {
  private enum Phase {
    /** No byte of the first request has arrived. */
    NEW,
    /** Waiting for the rest of a request head (request line and headers). */
    READING_HEAD,
    /** Processing a request. */
    PROCESSING,
    /** Sending the response. */
    RESPONDING,
    /** The last response was sent, and no byte of the next request has arrived. */
    IDLE
  }

  /** Orders connections by the start of their phase, the longest in it first. */
  static final Comparator<CallerConnection> BY_PHASE_START =
      (a, b) -> Long.signum(a.phaseStartNanos - b.phaseStartNanos);

  private final TcpSocket socket;
  private Phase phase = Phase.NEW;
  private long phaseStartNanos = System.nanoTime();
  private long lastProgressNanos = phaseStartNanos;
  private long headBytes;
  private boolean waitingForCaller;
  private boolean closeAfterResponse;
  private Runnable disconnectHandler = () -> {};

  CallerConnection(TcpSocket socket) {
    this.socket = socket;
  }

  /** Sets a handler that runs if the caller disconnects before its response is complete. */
  public void setDisconnectHandler(Runnable disconnectHandler) {
    this.disconnectHandler = disconnectHandler;
  }

  /** Closes the connection once the current response has been sent. */
  public void closeAfterResponse() {
    closeAfterResponse = true;
  }

  /**
   * Returns whether the connection closes after the current response. The HTTP server may pass on
   * what follows on the connection before it is closed; that must not be served.
   */
  public boolean closesAfterResponse() {
    return closeAfterResponse;
  }

  /**
   * Limits what the operating system holds of a response that the caller reads slowly, for all
   * further responses on the connection. Without it the system's own limit applies, which is
   * megabytes for each connection.
   */
  public void limitSendBuffer(int bytes) throws IOException {
    socket.getSocketChannel().setOption(StandardSocketOptions.SO_SNDBUF, bytes);
  }

  /** Records whether progress now depends only on the caller, and restarts the progress timeout. */
  void setWaitingForCaller(boolean waiting) {
    waitingForCaller = waiting;
    lastProgressNanos = System.nanoTime();
  }

  void onHeadComplete() {
    enter(Phase.PROCESSING);
    waitingForCaller = false;
  }

  void onResponseStarted() {
    enter(Phase.RESPONDING);
    setWaitingForCaller(true);
  }

  void onResponseComplete() {
    enter(Phase.IDLE);
    disconnectHandler = () -> {};
    headBytes = 0;
    if (closeAfterResponse) {
      socket.close();
    }
  }

  /**
   * Records that {@code bytes} were read. Returns whether the request head had exceeded {@code
   * maxHeadBytes} before this read.
   */
  boolean onRead(int bytes, int maxHeadBytes) {
    lastProgressNanos = System.nanoTime();
    if (isIdle()) {
      enter(Phase.READING_HEAD);
    }
    boolean tooLarge = phase == Phase.READING_HEAD && headBytes > maxHeadBytes;
    headBytes += phase == Phase.READING_HEAD ? bytes : 0;
    return tooLarge;
  }

  void onWrite() {
    lastProgressNanos = System.nanoTime();
  }

  void onDisconnect() {
    Runnable handler = disconnectHandler;
    disconnectHandler = () -> {};
    handler.run();
  }

  void close() {
    socket.close();
  }

  /** Returns whether no request is being read, processed or responded to. */
  boolean isIdle() {
    return phase == Phase.NEW || phase == Phase.IDLE;
  }

  /** Returns whether the caller exceeded the timeout of the current phase. */
  boolean hasTimedOut(long nowNanos, CallerTimeouts timeouts) {
    long inPhaseNanos = nowNanos - phaseStartNanos;
    long stalledNanos = nowNanos - lastProgressNanos;
    return switch (phase) {
      case NEW -> inPhaseNanos > timeouts.firstRequestTimeoutNanos();
      case READING_HEAD -> inPhaseNanos > timeouts.headTimeoutNanos();
      case IDLE -> inPhaseNanos > timeouts.keepAliveTimeoutNanos();
      case PROCESSING, RESPONDING ->
          waitingForCaller && stalledNanos > timeouts.progressTimeoutNanos();
    };
  }

  private void enter(Phase next) {
    phase = next;
    phaseStartNanos = System.nanoTime();
  }
}
