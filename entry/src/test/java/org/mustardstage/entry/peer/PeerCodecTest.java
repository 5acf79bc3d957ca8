package org.mustardstage.entry.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.lessThan;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.DigestUpdate;
import org.mustardstage.core.member.DigestVersion;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberMessage;
import org.mustardstage.core.permit.LimitId;
import org.mustardstage.core.permit.PermitMessage;

class PeerCodecTest {
  private static final long CORRELATION_ID = Long.MAX_VALUE;
  private static final ZoneId ZONE = new ZoneId("regina-a");
  private static final LimitId LIMIT = new LimitId("slots/order-desk-01");
  private static final VmIncarnation VM = new VmIncarnation(new VmId("entry-01"), 1_764_800_000L);
  private static final Member MEMBER =
      new Member(
          VM,
          ZONE,
          new RegionId("regina"),
          new HostAndPort("127.0.0.1", 1),
          new HostAndPort("127.0.0.1", 2),
          new HostAndPort("127.0.0.1", 3),
          /* leaving= */ true);

  static Stream<PeerMessage> messages() {
    return Stream.concat(memberMessages(), permitMessages());
  }

  private static Stream<PeerMessage> memberMessages() {
    DigestVersion counter = new DigestVersion(ZONE, 3, -7, 8);
    DigestUpdate whole =
        new DigestUpdate(
            ZONE, 3, new ConfigVersion(9), List.of(VM.vm()), 8, Optional.of(List.of(MEMBER)));
    DigestUpdate versionOnly =
        new DigestUpdate(ZONE, 3, new ConfigVersion(9), List.of(), 8, Optional.empty());
    return Stream.of(
        new PeerMessage.Hello(MEMBER),
        new PeerMessage.Membership(
            new MemberMessage.Heartbeat(true, new ConfigVersion(9), -1, List.of(ZONE))),
        new PeerMessage.Membership(new MemberMessage.DigestSummary(List.of(counter))),
        new PeerMessage.Membership(new MemberMessage.Digests(List.of(whole, versionOnly))),
        new PeerMessage.ConfigAnnounce(new ConfigVersion(9), "abc"),
        new PeerMessage.ConfigFetch(List.of("abc", "def")),
        new PeerMessage.ConfigObjects(
            List.of(
                new PeerMessage.ConfigObject("abc", Optional.of("{}")),
                new PeerMessage.ConfigObject("def", Optional.empty()))),
        new PeerMessage.RowsRequest("ENDPOINTS", 12),
        new PeerMessage.RowsUpdate(
            "ENDPOINTS",
            12,
            14,
            true,
            List.of(
                new PeerMessage.VersionedRow("a", 13, Optional.of("AAE=")),
                new PeerMessage.VersionedRow("b", 14, Optional.empty()))));
  }

  private static Stream<PeerMessage> permitMessages() {
    List<PermitMessage.LeasedPermit> permits =
        List.of(new PermitMessage.LeasedPermit(LIMIT, 8, 5, VM, 10_000_000_000L));
    List<PermitMessage.LeaseId> names = List.of(new PermitMessage.LeaseId(LIMIT, 8, 5));
    List<PermitMessage.HandedOverPermit> handed =
        List.of(new PermitMessage.HandedOverPermit(LIMIT, 8, 5, 1));
    return Stream.<PermitMessage>of(
            new PermitMessage.LeaseRequest(1, 2, List.of(LIMIT), 3, 4, 5, 6),
            new PermitMessage.LeaseWithdrawal(1, 2),
            new PermitMessage.LeaseTransfer(1, 2, 3, permits),
            new PermitMessage.LeaseReturn(1, names),
            new PermitMessage.LeaseRenewal(1, names),
            new PermitMessage.LeaseRenewed(1, 2, permits),
            new PermitMessage.PermitsWanted(1, List.of(LIMIT), 2),
            new PermitMessage.ConfirmOwnership(1, 2, ZONE, 3),
            new PermitMessage.OwnershipConfirmed(1, 2, ZONE, 3),
            new PermitMessage.OwnershipAdvertised(1, ZONE, 2, List.of(VM)),
            new PermitMessage.Handover(1, 2, ZONE, 3, List.of(4, 5), handed),
            new PermitMessage.HandoverReceived(1, 2),
            new PermitMessage.StopAnnounced(1))
        .map(PeerMessage.Permits::new);
  }

  @ParameterizedTest
  @MethodSource("messages")
  void messageIsReadAsItWasWritten(PeerMessage message) {
    PeerCodec.Frame expected = new PeerCodec.Frame(CORRELATION_ID, message);
    assertThat(
        PeerCodec.decode(PeerCodec.encode(CORRELATION_ID, message)).get(), equalTo(expected));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void truncatedMessageIsRefused(PeerMessage message) {
    byte[] whole = PeerCodec.encode(CORRELATION_ID, message);
    for (int length = 0; length < whole.length; length++) {
      byte[] cut = Arrays.copyOf(whole, length);
      assertThat(
          PeerCodec.decode(cut).swap().getOrNull(), instanceOf(FrameProblem.Malformed.class));
    }
  }

  @ParameterizedTest
  @MethodSource("messages")
  void changedBytesNeverEscapeAsAnException(PeerMessage message) {
    byte[] whole = PeerCodec.encode(CORRELATION_ID, message);
    SplittableRandom random = new SplittableRandom(whole.length);
    for (int i = 0; i < 500; i++) {
      byte[] changed = whole.clone();
      changed[random.nextInt(changed.length)] = (byte) random.nextInt();
      changed[random.nextInt(changed.length)] = (byte) random.nextInt();
      PeerCodec.decode(changed);
    }
  }

  @Test
  void randomBytesNeverEscapeAsAnException() {
    SplittableRandom random = new SplittableRandom(11);
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = new byte[random.nextInt(64)];
      random.nextBytes(bytes);
      PeerCodec.decode(bytes);
    }
  }

  /** Found by the case above: the declared length was allocated and ended the process. */
  @Test
  void declaredLengthPastTheFrameIsRefusedBeforeItIsAllocated() {
    byte[] frame = {(byte) 0x94, 1, 6, 0, (byte) 0x91, (byte) 0xdb, 0x7f, -1, -1, -1, 'a'};
    assertThat(PeerCodec.decode(frame).getLeft(), instanceOf(FrameProblem.Malformed.class));
  }

  @Test
  void unknownVersionIsRefused() {
    byte[] frame = {(byte) 0x94, 2, 1, 0, (byte) 0x90};
    assertThat(PeerCodec.decode(frame).getLeft(), equalTo(new FrameProblem.UnknownVersion(2)));
  }

  @Test
  void unknownKindIsRefused() {
    byte[] frame = {(byte) 0x94, 1, 99, 0, (byte) 0x90};
    assertThat(PeerCodec.decode(frame).getLeft(), equalTo(new FrameProblem.UnknownKind(99)));
  }

  @Test
  void heartbeatIsSmall() {
    PeerMessage heartbeat =
        new PeerMessage.Membership(
            new MemberMessage.Heartbeat(false, new ConfigVersion(700_000), -1, List.of()));
    assertThat(PeerCodec.encode(1 << 20, heartbeat).length, lessThan(40));
  }
}
