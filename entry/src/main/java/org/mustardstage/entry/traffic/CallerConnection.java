package org.mustardstage.entry.traffic;

import io.activej.net.socket.tcp.TcpSocket;

/** What is known of one open connection of a caller. */
public final class CallerConnection {
  private enum Phase {
    /** The head of a request is awaited. */
    HEAD,
    /** A request is being served. */
    SERVING,
    /** The answer is being sent. */
    ANSWERING,
    /** The last answer was sent, and no byte of a next request has come. */
    IDLE
  }

  private final TcpSocket socket;
  private Phase phase = Phase.HEAD;
  private long phaseSinceNanos = System.nanoTime();
  private long lastProgressNanos = phaseSinceNanos;
  private long headBytes;
  private boolean waitsForCaller;
  private boolean closeAfterResponse;
  private Runnable onLeft = () -> {};

  CallerConnection(TcpSocket socket) {
    this.socket = socket;
  }

  /** Sets what runs when the caller leaves before its answer is complete. */
  public void setDisconnectHandler(Runnable onLeft) {
    this.onLeft = onLeft;
  }

  /** Makes the connection close when the current answer has been sent. */
  public void closeAfterResponse() {
    closeAfterResponse = true;
  }

  /** Tells whether the caller, and nobody else, holds up progress now. */
  void setWaitsForCaller(boolean waits) {
    waitsForCaller = waits;
    lastProgressNanos = System.nanoTime();
  }

  void onHeadComplete() {
    enter(Phase.SERVING);
    waitsForCaller = false;
  }

  void onAnswerBegun() {
    enter(Phase.ANSWERING);
    setWaitsForCaller(true);
  }

  void onAnswerComplete() {
    enter(Phase.IDLE);
    onLeft = () -> {};
    headBytes = 0;
    if (closeAfterResponse) {
      socket.close();
    }
  }

  /** Returns whether the head of a request has grown past {@code maxHeadBytes}. */
  boolean onRead(int bytes, int maxHeadBytes) {
    lastProgressNanos = System.nanoTime();
    if (phase == Phase.IDLE) {
      enter(Phase.HEAD);
    }
    boolean tooLarge = phase == Phase.HEAD && headBytes > maxHeadBytes;
    headBytes += phase == Phase.HEAD ? bytes : 0;
    return tooLarge;
  }

  void onWrite() {
    lastProgressNanos = System.nanoTime();
  }

  void onLeft() {
    Runnable left = onLeft;
    onLeft = () -> {};
    left.run();
  }

  void close() {
    socket.close();
  }

  /** Returns whether nothing is being served or answered. */
  boolean isQuiet() {
    return phase == Phase.IDLE || (phase == Phase.HEAD && headBytes == 0);
  }

  /** Returns whether the caller took longer than it may. */
  boolean isTooSlow(long nowNanos, CallerTimeouts timeouts) {
    long inPhaseNanos = nowNanos - phaseSinceNanos;
    long stalledNanos = nowNanos - lastProgressNanos;
    return switch (phase) {
      case HEAD -> inPhaseNanos > timeouts.headNanos();
      case IDLE -> inPhaseNanos > timeouts.keepAliveNanos();
      case SERVING, ANSWERING -> waitsForCaller && stalledNanos > timeouts.progressNanos();
    };
  }

  private void enter(Phase next) {
    phase = next;
    phaseSinceNanos = System.nanoTime();
  }
}
