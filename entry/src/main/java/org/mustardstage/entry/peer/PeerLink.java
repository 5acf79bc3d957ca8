package org.mustardstage.entry.peer;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.binary.BinaryChannelSupplier;
import io.activej.csp.binary.decoder.ByteBufsDecoder;
import io.activej.csp.binary.decoder.ByteBufsDecoders;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.PeerRelease;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/** A link to another entry VM: one TCP connection. Confined to the control thread. */
final class PeerLink {
  /** Bounds the memory for one received frame. A link with a larger frame is closed. */
  static final int MAX_FRAME_BYTES = 16 << 20;

  /** Bounds the memory for a peer that has not introduced itself, which may be any process. */
  private static final int MAX_FIRST_FRAME_BYTES = 64 << 10;

  private static final int LENGTH_PREFIX_BYTES = Integer.BYTES;

  /**
   * Bounds the memory for frames to a slow receiver. A link with more unwritten bytes is closed.
   */
  private static final long MAX_UNWRITTEN_BYTES = 32 << 20;

  private final ByteBufsDecoder<ByteBuf> firstFrameDecoder =
      ByteBufsDecoders.ofIntSizePrefixedBytes(MAX_FIRST_FRAME_BYTES);
  private final ByteBufsDecoder<ByteBuf> frameDecoder =
      ByteBufsDecoders.ofIntSizePrefixedBytes(MAX_FRAME_BYTES);
  private final ITcpSocket socket;
  private final BinaryChannelSupplier input;
  private final Listener listener;
  private final LinkStats stats;
  private Optional<Member> remote = Optional.empty();
  private Optional<String> build = Optional.empty();
  private long lastReceivedNanos;
  private long unwrittenBytes;
  private boolean closed;

  /** Receives the messages of a link, and its errors and end. */
  interface Listener {
    /** Handles a received message. The first one on a link is {@link PeerMessage.Hello}. */
    void onMessage(PeerLink link, PeerCodec.Frame frame);

    /** Reports a frame that could not be decoded. The link goes on with the next frame. */
    void onBadFrame(PeerLink link, FrameProblem problem, int contentBytes);

    /** Cleans up after a link that was closed, by either side. */
    void onClosed(PeerLink link);
  }

  PeerLink(ITcpSocket socket, Listener listener, LinkStats stats, long nowNanos) {
    this.socket = socket;
    this.input = BinaryChannelSupplier.of(ChannelSuppliers.ofSocket(socket));
    this.listener = listener;
    this.stats = stats;
    this.lastReceivedNanos = nowNanos;
  }

  Optional<Member> remote() {
    return remote;
  }

  void identify(Member member, Optional<String> remoteBuild) {
    remote = Optional.of(member);
    build = remoteBuild;
  }

  /** Returns the source from which the remote VM was built, if it said so. */
  Optional<String> build() {
    return build;
  }

  long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  void recordReceipt(long nowNanos) {
    lastReceivedNanos = nowNanos;
  }

  boolean isClosed() {
    return closed;
  }

  void startReading() {
    readFrames();
  }

  /** Handles the frames that have arrived in a loop, as a call for each would exhaust the stack. */
  private void readFrames() {
    while (!closed) {
      Promise<ByteBuf> frame = input.decode(remote.isEmpty() ? firstFrameDecoder : frameDecoder);
      if (!frame.isResult()) {
        frame.whenResult(this::onAwaitedFrame).whenException(this::onError);
        return;
      }
      onFrame(frame.getResult());
    }
  }

  private void onAwaitedFrame(ByteBuf buf) {
    onFrame(buf);
    readFrames();
  }

  private void onError(Exception exception) {
    if (!closed) {
      EventLog.log(Event.LINK_CLOSED, exception, "vm", remote.map(Member::incarnation));
    }
    close();
  }

  private void onFrame(ByteBuf buf) {
    byte[] content = buf.asArray();
    stats.onReceived(content.length + LENGTH_PREFIX_BYTES);
    Either<FrameProblem, PeerCodec.Frame> decoded = PeerCodec.decode(content);
    if (decoded.isRight()) {
      listener.onMessage(this, decoded.get());
    } else {
      stats.onSkipped();
      listener.onBadFrame(this, decoded.getLeft(), content.length);
    }
  }

  /** Sends a message, unless the release of the remote VM does not know messages of its kind. */
  void send(long correlationId, PeerMessage message) {
    int release = remote.map(Member::release).orElse(PeerRelease.FIRST);
    Optional<byte[]> encoded = PeerCodec.encode(correlationId, message, release);
    if (encoded.isEmpty()) {
      stats.onNotSent();
      return;
    }
    byte[] content = encoded.get();
    int frameBytes = content.length + LENGTH_PREFIX_BYTES;
    if (closed || unwrittenBytes + frameBytes > MAX_UNWRITTEN_BYTES) {
      close();
      return;
    }
    ByteBuffer frame = ByteBuffer.allocate(frameBytes).putInt(content.length).put(content);
    unwrittenBytes += frameBytes;
    stats.onSent(frameBytes);
    socket
        .write(ByteBuf.wrapForReading(frame.array()))
        .whenComplete(() -> unwrittenBytes -= frameBytes)
        .whenException(this::onError);
  }

  void close() {
    if (closed) {
      return;
    }
    closed = true;
    socket.close();
    listener.onClosed(this);
  }
}
