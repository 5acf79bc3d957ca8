package org.mustardstage.entry.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;

/**
 * Runs two VMs that exchange messages over TCP. Guards against messages that are lost, reordered or
 * delivered to another incarnation of a VM, and against bad frames that affect more than their
 * link.
 */
@Timeout(20)
class PeerNetworkTest {
  private static final int MANY_FRAMES = 20_000;
  private static final int READ_TIMEOUT_MILLIS = 10_000;

  /** The stack of the threads of the deployed process. */
  private static final long STACK_BYTES = 256 << 10;

  private static final String HOST = "127.0.0.1";
  private static final PeerMessage MESSAGE =
      new PeerMessage.ConfigAnnounce(new ConfigVersion(7), "root");

  private final List<TestVm> vms = new ArrayList<>();
  private TestVm first;
  private TestVm second;

  @BeforeEach
  void startTwoVms() throws IOException {
    first = new TestVm("first", 1);
    second = new TestVm("second", 2);
  }

  @AfterEach
  void stopAll() {
    vms.forEach(TestVm::stop);
  }

  @Test
  void messageIsDelivered() throws InterruptedException {
    first.send(second.member, MESSAGE);
    assertThat(second.received.take(), equalTo(MESSAGE));
  }

  @Test
  void messageForAnEarlierIncarnationIsNotDelivered() throws InterruptedException {
    Member earlierIncarnation = second.memberWithIncarnation(1);
    first.send(earlierIncarnation, new PeerMessage.ConfigAnnounce(new ConfigVersion(1), "lost"));
    first.send(second.member, MESSAGE);
    assertThat(second.received.take(), equalTo(MESSAGE));
  }

  @Test
  void malformedFrameOfAnUnidentifiedSenderClosesItsLinkOnly()
      throws IOException, InterruptedException {
    first.send(second.member, MESSAGE);
    second.received.take();
    try (Socket socket = connectToSecond()) {
      socket.getOutputStream().write(ByteBuffer.allocate(8).putInt(4).putInt(-1).array());
      awaitClose(socket);
    }
    first.send(second.member, MESSAGE);
    assertThat(second.received.take(), equalTo(MESSAGE));
  }

  /** A later release sends kinds that this one does not know; the others still count. */
  @Test
  void framesThatCannotBeDecodedAreSkipped() throws IOException, InterruptedException {
    byte[] hello = PeerCodec.encode(1, new PeerMessage.Hello(first.member, Optional.empty()));
    byte[] unknownKind = {(byte) 0x94, 1, 99, 0, (byte) 0x90};
    byte[] malformed = {(byte) 0x94, 1, 5, 0, (byte) 0xc1};
    try (Socket socket = connectToSecond()) {
      for (byte[] content : List.of(hello, unknownKind, malformed, PeerCodec.encode(2, MESSAGE))) {
        ByteBuffer frame = ByteBuffer.allocate(content.length + 4).putInt(content.length);
        socket.getOutputStream().write(frame.put(content).array());
      }
      assertThat(second.received.poll(5, TimeUnit.SECONDS), equalTo(MESSAGE));
    }
    assertThat(second.network.stats().skippedFrames(), equalTo(2L));
  }

  /** Each frame of a read took more of the stack, until the thread of all links ended. */
  @Test
  void manyFramesInOneReadAreDelivered() throws IOException, InterruptedException {
    byte[] hello = PeerCodec.encode(1, new PeerMessage.Hello(first.member, Optional.empty()));
    byte[] small = PeerCodec.encode(2, new PeerMessage.ConfigAnnounce(new ConfigVersion(1), "r"));
    ByteBuffer frames =
        ByteBuffer.allocate(hello.length + 4 + MANY_FRAMES * (small.length + 4))
            .putInt(hello.length)
            .put(hello);
    for (int i = 0; i < MANY_FRAMES; i++) {
      frames.putInt(small.length).put(small);
    }
    try (Socket socket = connectToSecond()) {
      socket.getOutputStream().write(frames.array());
      for (int i = 0; i < MANY_FRAMES; i++) {
        assertThat("frame " + i, second.received.poll(5, TimeUnit.SECONDS) != null, equalTo(true));
      }
    }
    first.send(second.member, MESSAGE);
    assertThat(second.received.poll(5, TimeUnit.SECONDS), equalTo(MESSAGE));
  }

  /** Anything that connects could make the VM hold 16 MB for each connection. */
  @Test
  void largeFrameOfAnUnidentifiedSenderClosesItsLink() throws IOException {
    try (Socket socket = connectToSecond()) {
      socket.getOutputStream().write(ByteBuffer.allocate(4).putInt(100_000).array());
      awaitClose(socket);
    }
  }

  @Test
  void oversizedFrameClosesTheLink() throws IOException {
    try (Socket socket = connectToSecond()) {
      socket.getOutputStream().write(ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array());
      awaitClose(socket);
    }
    assertThat(second.received.size(), equalTo(0));
  }

  @Test
  void messageBeforeHelloIsRejected() throws IOException {
    byte[] content = PeerCodec.encode(1, MESSAGE);
    try (Socket socket = connectToSecond()) {
      ByteBuffer frame = ByteBuffer.allocate(content.length + 4).putInt(content.length);
      socket.getOutputStream().write(frame.put(content).array());
      awaitClose(socket);
    }
    assertThat(new ArrayList<>(second.received), equalTo(List.of()));
  }

  @Test
  void messagesArriveInSendOrder() throws InterruptedException {
    List<PeerMessage> sent = new ArrayList<>();
    for (int i = 1; i <= 100; i++) {
      sent.add(new PeerMessage.ConfigAnnounce(new ConfigVersion(i), "root-" + i));
    }
    sent.forEach(message -> first.send(second.member, message));
    List<PeerMessage> received = new ArrayList<>();
    while (received.size() < sent.size()) {
      received.add(second.received.take());
    }
    assertThat(received, contains(sent.toArray()));
  }

  private Socket connectToSecond() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), second.member.peerAddress().port());
  }

  private static void awaitClose(Socket socket) throws IOException {
    // JUnit's timeout does not end a read.
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    socket.getInputStream().readAllBytes();
  }

  /** A VM that runs on an event loop of its own and records the messages that it receives. */
  private final class TestVm implements PeerNetwork.Receiver {
    private final Member member;
    private final Eventloop eventloop = Eventloop.create();
    private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
    private final PeerNetwork network;
    private final Thread thread = new Thread(null, eventloop, "vm", STACK_BYTES);

    TestVm(String name, long incarnation) throws IOException {
      member = newMember(name, incarnation, freePort());
      eventloop.keepAlive(true);
      thread.start();
      network =
          eventloop
              .submit(
                  () ->
                      Promise.of(new PeerNetwork(eventloop, () -> member, System::nanoTime, this)))
              .join();
      eventloop.submit(network::start).join();
      vms.add(this);
    }

    Member memberWithIncarnation(long incarnation) {
      return newMember(member.vm().value(), incarnation, member.peerAddress().port());
    }

    void send(Member to, PeerMessage message) {
      eventloop.submit(() -> network.send(to, message)).join();
    }

    void stop() {
      eventloop.submit(() -> network.stop().toVoid()).join();
      eventloop.keepAlive(false);
      eventloop.execute(eventloop::breakEventloop);
    }

    @Override
    public void onHello(Member from) {}

    @Override
    public void onMessage(Member from, PeerMessage message) {
      received.add(message);
    }

    @Override
    public long silenceTimeoutNanos(Member other) {
      return Duration.ofMinutes(1).toNanos();
    }
  }

  private static Member newMember(String name, long incarnation, int port) {
    HostAndPort address = new HostAndPort(HOST, port);
    return new Member(
        new VmIncarnation(new VmId(name), incarnation),
        new ZoneId("zone"),
        new RegionId("region"),
        address,
        address,
        address,
        /* leaving= */ false);
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
