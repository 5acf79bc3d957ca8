package org.mustardstage.entry.traffic;

import io.activej.net.socket.tcp.TcpSocket;

/** What is known of one open connection of a caller. */
public final class CallerConnection {
  private enum Phase {
    /** The head of a request is awaited. */
    READING_HEAD,
    /** A request is being served. */
    PROCESSING,
    /** The answer is being sent. */
    RESPONDING,
    /** The last answer was sent, and no byte of a next request has come. */
    IDLE
  }

  private final TcpSocket socket;
  private Phase phase = Phase.READING_HEAD;
  private long phaseStartNanos = System.nanoTime();
  private long lastProgressNanos = phaseStartNanos;
  private long headBytes;
  private boolean waitingForCaller;
  private boolean closeAfterResponse;
  private Runnable onDisconnect = () -> {};

  CallerConnection(TcpSocket socket) {
    this.socket = socket;
  }

  /** Sets what runs when the caller leaves before its answer is complete. */
  public void setDisconnectHandler(Runnable onLeft) {
    this.onDisconnect = onLeft;
  }

  /** Makes the connection close when the current answer has been sent. */
  public void closeAfterResponse() {
    closeAfterResponse = true;
  }

  /** Tells whether the caller, and nobody else, holds up progress now. */
  void setWaitingForCaller(boolean waits) {
    waitingForCaller = waits;
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
    onDisconnect = () -> {};
    headBytes = 0;
    if (closeAfterResponse) {
      socket.close();
    }
  }

  /** Returns whether the head of a request has grown past {@code maxHeadBytes}. */
  boolean onRead(int bytes, int maxHeadBytes) {
    lastProgressNanos = System.nanoTime();
    if (phase == Phase.IDLE) {
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
    Runnable left = onDisconnect;
    onDisconnect = () -> {};
    left.run();
  }

  void close() {
    socket.close();
  }

  /** Returns whether nothing is being served or answered. */
  boolean isIdle() {
    return phase == Phase.IDLE || (phase == Phase.READING_HEAD && headBytes == 0);
  }

  /** Returns whether the caller took longer than it may. */
  boolean hasTimedOut(long nowNanos, CallerTimeouts timeouts) {
    long inPhaseNanos = nowNanos - phaseStartNanos;
    long stalledNanos = nowNanos - lastProgressNanos;
    return switch (phase) {
      case READING_HEAD -> inPhaseNanos > timeouts.headTimeoutNanos();
      case IDLE -> inPhaseNanos > timeouts.keepAliveTimeoutNanos();
      case PROCESSING, RESPONDING -> waitingForCaller && stalledNanos > timeouts.progressTimeoutNanos();
    };
  }

  private void enter(Phase next) {
    phase = next;
    phaseStartNanos = System.nanoTime();
  }
}
