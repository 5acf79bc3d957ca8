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
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.TenantName;
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
import org.mustardstage.core.placement.EndpointIncarnation;
import org.mustardstage.core.placement.EndpointLimit;
import org.mustardstage.core.placement.LostAttempt;
import org.mustardstage.core.placement.RequestBlock;
import org.mustardstage.core.placement.RequestFingerprint;
import org.mustardstage.core.quota.QuotaMessage;

/**
 * Checks that every message survives encoding and decoding, and that truncated, corrupted and
 * random frames from the network are rejected without an exception.
 */
class PeerCodecTest {
  private static final RequestFingerprint FINGERPRINT =
      RequestFingerprint.of("/a", "10.0.0.1", new byte[0]);

  private static final TenantName TENANT = new TenantName("city-depot");
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
    DigestVersion digestVersion = new DigestVersion(ZONE, 3, -7, 8);
    DigestUpdate fullUpdate =
        new DigestUpdate(
            ZONE, 3, new ConfigVersion(9), List.of(VM.vm()), 8, Optional.of(List.of(MEMBER)));
    DigestUpdate versionOnly =
        new DigestUpdate(ZONE, 3, new ConfigVersion(9), List.of(), 8, Optional.empty());
    return Stream.of(
        new PeerMessage.Hello(MEMBER, Optional.of("20ebcc3")),
        new PeerMessage.Membership(
            new MemberMessage.Heartbeat(true, true, new ConfigVersion(9), -1, List.of(ZONE))),
        new PeerMessage.Membership(new MemberMessage.DigestSummary(List.of(digestVersion))),
        new PeerMessage.Membership(new MemberMessage.Digests(List.of(fullUpdate, versionOnly))),
        new PeerMessage.ConfigAnnounce(new ConfigVersion(9), "abc"),
        new PeerMessage.ConfigFetch(List.of("abc", "def")),
        new PeerMessage.ConfigObjects(
            List.of(
                new PeerMessage.ConfigObject("abc", Optional.of("{}")),
                new PeerMessage.ConfigObject("def", Optional.empty()))),
        new PeerMessage.Membership(new MemberMessage.Superseded(1_700_000_000_000L)),
        new PeerMessage.EndpointsLeaving(
            List.of(new EndpointIncarnation(new EndpointId("i-1"), 1_700_000_000_000L))),
        new PeerMessage.EndpointLimits(
            List.of(
                new EndpointLimit(
                    new EndpointIncarnation(new EndpointId("i-1"), 1_700_000_000_000L),
                    Optional.of(1.5)),
                new EndpointLimit(
                    new EndpointIncarnation(new EndpointId("i-2"), 1_700_000_000_000L),
                    Optional.empty()))),
        new PeerMessage.AttemptLost(
            new LostAttempt(
                FINGERPRINT, new EndpointIncarnation(new EndpointId("i-1"), 1_700_000_000_000L))),
        new PeerMessage.RequestSurvived(FINGERPRINT),
        new PeerMessage.Quota(new QuotaMessage.Shares(-1, 16, Long.MAX_VALUE, 98, true)),
        new PeerMessage.Quota(new QuotaMessage.Mark(7, 3)),
        new PeerMessage.Quota(new QuotaMessage.Ask(TENANT, 12, 300)),
        new PeerMessage.Quota(new QuotaMessage.Grant(TENANT, 12, 5, 299, 300, 4_000)),
        new PeerMessage.Quota(new QuotaMessage.Return(TENANT, 5, 20)),
        new PeerMessage.RequestBlocks(List.of(new RequestBlock(FINGERPRINT, 2, 600_000))),
        new PeerMessage.RowsRequest("ENDPOINTS", 2, 12),
        new PeerMessage.RowsUpdate(
            "ENDPOINTS",
            2,
            12,
            14,
            true,
            77,
            List.of(
                new PeerMessage.VersionedRow("a", 13, Optional.of("AAE=")),
                new PeerMessage.VersionedRow("b", 14, Optional.empty()))));
  }

  private static Stream<PeerMessage> permitMessages() {
    List<PermitMessage.LeasedPermit> permits =
        List.of(new PermitMessage.LeasedPermit(LIMIT, 8, 5, VM, 10_000_000_000L));
    List<PermitMessage.LeaseId> leases = List.of(new PermitMessage.LeaseId(LIMIT, 8, 5));
    List<PermitMessage.HandedOverPermit> handedOver =
        List.of(new PermitMessage.HandedOverPermit(LIMIT, 8, 5, 1));
    return Stream.<PermitMessage>of(
            new PermitMessage.LeaseRequest(1, 2, List.of(LIMIT), 3, 4, 5, 6),
            new PermitMessage.LeaseWithdrawal(1, 2),
            new PermitMessage.LeaseTransfer(1, 2, 3, permits),
            new PermitMessage.LeaseReturn(1, leases),
            new PermitMessage.LeaseRenewal(1, leases),
            new PermitMessage.LeaseRenewed(1, 2, permits),
            new PermitMessage.PermitsWanted(1, List.of(LIMIT), 2),
            new PermitMessage.ConfirmOwnership(1, 2, ZONE, 3),
            new PermitMessage.OwnershipConfirmed(1, 2, ZONE, 3),
            new PermitMessage.OwnershipAdvertised(1, ZONE, 2, List.of(VM)),
            new PermitMessage.Handover(1, 2, ZONE, 3, List.of(4, 5), handedOver),
            new PermitMessage.HandoverReceived(1, 2),
            new PermitMessage.StopAnnounced(1))
        .map(PeerMessage.Permits::new);
  }

  @ParameterizedTest
  @MethodSource("messages")
  void decodedMessageEqualsEncodedMessage(PeerMessage message) {
    PeerCodec.Frame expected = new PeerCodec.Frame(CORRELATION_ID, message);
    assertThat(
        PeerCodec.decode(PeerCodec.encode(CORRELATION_ID, message)).get(), equalTo(expected));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void truncatedMessageIsRejected(PeerMessage message) {
    byte[] encoded = PeerCodec.encode(CORRELATION_ID, message);
    for (int length = 0; length < encoded.length; length++) {
      byte[] truncated = Arrays.copyOf(encoded, length);
      assertThat(
          PeerCodec.decode(truncated).swap().getOrNull(), instanceOf(FrameProblem.Malformed.class));
    }
  }

  @ParameterizedTest
  @MethodSource("messages")
  void corruptedMessageNeverThrows(PeerMessage message) {
    byte[] encoded = PeerCodec.encode(CORRELATION_ID, message);
    SplittableRandom random = new SplittableRandom(encoded.length);
    for (int i = 0; i < 500; i++) {
      byte[] corrupted = encoded.clone();
      corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
      corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
      PeerCodec.decode(corrupted);
    }
  }

  @Test
  void randomBytesNeverThrow() {
    SplittableRandom random = new SplittableRandom(11);
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = new byte[random.nextInt(64)];
      random.nextBytes(bytes);
      PeerCodec.decode(bytes);
    }
  }

  /**
   * Guards against a frame that declares a huge text: the decoder allocated the declared length,
   * which ended the process. The random frames of the test above found this.
   */
  @Test
  void declaredLengthBeyondTheFrameIsRejectedBeforeAllocation() {
    byte[] frame = {(byte) 0x94, 1, 6, 0, (byte) 0x91, (byte) 0xdb, 0x7f, -1, -1, -1, 'a'};
    assertThat(PeerCodec.decode(frame).getLeft(), instanceOf(FrameProblem.Malformed.class));
  }

  @Test
  void unknownVersionIsRejected() {
    byte[] frame = {(byte) 0x94, 2, 1, 0, (byte) 0x90};
    assertThat(PeerCodec.decode(frame).getLeft(), equalTo(new FrameProblem.UnknownVersion(2)));
  }

  @Test
  void unknownKindIsRejected() {
    byte[] frame = {(byte) 0x94, 1, 99, 0, (byte) 0x90};
    assertThat(PeerCodec.decode(frame).getLeft(), equalTo(new FrameProblem.UnknownKind(99)));
  }

  @Test
  void heartbeatFitsIntoFortyBytes() {
    PeerMessage heartbeat =
        new PeerMessage.Membership(
            new MemberMessage.Heartbeat(false, false, new ConfigVersion(700_000), -1, List.of()));
    assertThat(PeerCodec.encode(1 << 20, heartbeat).length, lessThan(40));
  }
}
