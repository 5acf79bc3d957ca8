package org.mustardstage.entry.peer;

/**
 * Counts messages and bytes on all links, as a measure of the control traffic between VMs. Confined
 * to the control thread.
 */
public final class LinkStats {
  private long sentMessages;
  private long sentBytes;
  private long receivedMessages;
  private long receivedBytes;
  private long skippedFrames;
  private long unsentMessages;

  void onSent(int frameBytes) {
    sentMessages++;
    sentBytes += frameBytes;
  }

  void onReceived(int frameBytes) {
    receivedMessages++;
    receivedBytes += frameBytes;
  }

  void onSkipped() {
    skippedFrames++;
  }

  void onNotSent() {
    unsentMessages++;
  }

  /** Returns the number of received frames that could not be decoded. */
  public long skippedFrames() {
    return skippedFrames;
  }

  /** Returns the number of messages that were not sent as their receiver does not know the kind. */
  public long unsentMessages() {
    return unsentMessages;
  }

  /** Returns the number of messages sent. */
  public long sentMessages() {
    return sentMessages;
  }

  /** Returns the total size of the frames sent, length prefixes included. */
  public long sentBytes() {
    return sentBytes;
  }

  /** Returns the number of messages received. */
  public long receivedMessages() {
    return receivedMessages;
  }

  /** Returns the total size of the frames received, length prefixes included. */
  public long receivedBytes() {
    return receivedBytes;
  }
}
