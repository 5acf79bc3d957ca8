package org.mustardstage.entry.peer;

/** Counts what passes over links, for the cost of control. Owned by the control thread. */
public final class LinkStats {
  private long sentMessages;
  private long sentBytes;
  private long receivedMessages;
  private long receivedBytes;

  void onSent(int frameBytes) {
    sentMessages++;
    sentBytes += frameBytes;
  }

  void onReceived(int frameBytes) {
    receivedMessages++;
    receivedBytes += frameBytes;
  }

  /** Returns the number of messages sent. */
  public long sentMessages() {
    return sentMessages;
  }

  /** Returns the bytes of all frames sent. */
  public long sentBytes() {
    return sentBytes;
  }

  /** Returns the number of messages received. */
  public long receivedMessages() {
    return receivedMessages;
  }

  /** Returns the bytes of all frames received. */
  public long receivedBytes() {
    return receivedBytes;
  }
}
