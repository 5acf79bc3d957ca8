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
