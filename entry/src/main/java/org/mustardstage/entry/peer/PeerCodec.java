package org.mustardstage.entry.peer;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.google.common.primitives.Bytes;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.member.MemberMessage;
import org.mustardstage.core.member.PeerRelease;
import org.mustardstage.core.placement.EndpointIncarnation;
import org.mustardstage.core.placement.EndpointLimit;
import org.mustardstage.core.placement.LostAttempt;
import org.mustardstage.core.placement.RequestBlock;
import org.mustardstage.core.placement.RequestFingerprint;
import org.mustardstage.schema.generated.WireAttemptLost;
import org.mustardstage.schema.generated.WireConfigAnnounce;
import org.mustardstage.schema.generated.WireConfigFetch;
import org.mustardstage.schema.generated.WireConfigObject;
import org.mustardstage.schema.generated.WireConfigObjects;
import org.mustardstage.schema.generated.WireConfirmOwnership;
import org.mustardstage.schema.generated.WireDigestSummary;
import org.mustardstage.schema.generated.WireDigests;
import org.mustardstage.schema.generated.WireEndpointLimit;
import org.mustardstage.schema.generated.WireEndpointLimits;
import org.mustardstage.schema.generated.WireEndpointsLeaving;
import org.mustardstage.schema.generated.WireHandover;
import org.mustardstage.schema.generated.WireHandoverReceived;
import org.mustardstage.schema.generated.WireHeartbeat;
import org.mustardstage.schema.generated.WireHello;
import org.mustardstage.schema.generated.WireKnownRow;
import org.mustardstage.schema.generated.WireLeaseRenewal;
import org.mustardstage.schema.generated.WireLeaseRenewed;
import org.mustardstage.schema.generated.WireLeaseRequest;
import org.mustardstage.schema.generated.WireLeaseReturn;
import org.mustardstage.schema.generated.WireLeaseTransfer;
import org.mustardstage.schema.generated.WireLeaseWithdrawal;
import org.mustardstage.schema.generated.WireLeavingEndpoint;
import org.mustardstage.schema.generated.WireOwnershipAdvertised;
import org.mustardstage.schema.generated.WireOwnershipConfirmed;
import org.mustardstage.schema.generated.WirePermitsWanted;
import org.mustardstage.schema.generated.WireQuotaAsk;
import org.mustardstage.schema.generated.WireQuotaGrant;
import org.mustardstage.schema.generated.WireQuotaMark;
import org.mustardstage.schema.generated.WireQuotaReturn;
import org.mustardstage.schema.generated.WireQuotaShares;
import org.mustardstage.schema.generated.WireRequestBlock;
import org.mustardstage.schema.generated.WireRequestBlocks;
import org.mustardstage.schema.generated.WireRequestSurvived;
import org.mustardstage.schema.generated.WireRowsKnown;
import org.mustardstage.schema.generated.WireRowsWanted;
import org.mustardstage.schema.generated.WireStopAnnounced;
import org.mustardstage.schema.generated.WireSuperseded;

/**
 * Encodes messages as the content of frames and decodes them. The content is a MessagePack array of
 * the protocol version, the number of the message kind, the correlation id and the payload. A
 * payload is an array of its fields in the order of the schema, as far as the release of the
 * receiver knows them.
 *
 * <p>{@link PeerMessage.Hello} is sent before the release of the receiver is known. Its frame has
 * the payload twice: first as release {@link PeerRelease#FIRST} knows it, and then whole. Releases
 * before 3 ignore what follows the first payload.
 */
public final class PeerCodec {
  /** The protocol version of encoded frames, and the only one that is decoded. */
  public static final int PROTOCOL_VERSION = 1;

  private static final int FRAME_ELEMENTS = 4;

  /** The first byte of a MessagePack array of up to 15 elements, without their number. */
  private static final int FIXARRAY_PREFIX = 0x90;

  private PeerCodec() {}

  /** A message with its correlation id. */
  public record Frame(long correlationId, PeerMessage message) {}

  /**
   * Returns the content of the frame that carries {@code message} to a VM that speaks {@code
   * release}; empty if that release does not know the kind of message.
   */
  public static Optional<byte[]> encode(long correlationId, PeerMessage message, int release) {
    Object payload = toWire(message);
    int kind = MessageKind.forPayload(payload).number();
    if (!WireLayouts.isKnownTo(release, payload.getClass())) {
      return Optional.empty();
    }
    try {
      if (message instanceof PeerMessage.Hello hello) {
        byte[] first =
            write(
                PeerRelease.CURRENT,
                PROTOCOL_VERSION,
                kind,
                correlationId,
                MemberMessageMapper.toFirstHello(hello.member()));
        return Optional.of(appendElement(first, WireLayouts.current().writeValueAsBytes(payload)));
      }
      return Optional.of(write(release, PROTOCOL_VERSION, kind, correlationId, payload));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("can't encode a wire class as MessagePack", e);
    }
  }

  /** Returns the content of the frame for a VM of this release. */
  public static byte[] encode(long correlationId, PeerMessage message) {
    return encode(correlationId, message, PeerRelease.CURRENT).orElseThrow();
  }

  private static byte[] write(int release, Object... frame) throws JsonProcessingException {
    return WireLayouts.forRelease(release).writeValueAsBytes(frame);
  }

  /** Appends an encoded element to an encoded array of {@link #FRAME_ELEMENTS} elements. */
  private static byte[] appendElement(byte[] frame, byte[] element) {
    byte[] longer = Bytes.concat(frame, element);
    longer[0] = (byte) (FIXARRAY_PREFIX | (FRAME_ELEMENTS + 1));
    return longer;
  }

  private static Object toWire(PeerMessage message) {
    return switch (message) {
      case PeerMessage.Hello hello ->
          new WireHello()
              .withMember(MemberMessageMapper.toWire(hello.member()))
              .withBuild(hello.build().orElse(null));
      case PeerMessage.Membership membership -> MemberMessageMapper.toWire(membership.message());
      case PeerMessage.Permits permit -> PermitMessageMapper.toWire(permit.message());
      case PeerMessage.Quota quota -> QuotaMessageMapper.toWire(quota.message());
      case PeerMessage.ConfigAnnounce announce ->
          new WireConfigAnnounce()
              .withVersion(announce.version().number())
              .withRootHash(announce.rootHash());
      case PeerMessage.ConfigFetch fetch -> new WireConfigFetch().withHashes(fetch.hashes());
      case PeerMessage.RowsRequest request ->
          new WireRowsWanted()
              .withTable(request.table())
              .withEra(request.era())
              .withAfterVersion(request.afterVersion());
      case PeerMessage.EndpointsLeaving leaving ->
          new WireEndpointsLeaving()
              .withEndpoints(leaving.endpoints().stream().map(PeerCodec::toWire).toList());
      case PeerMessage.EndpointLimits limits ->
          new WireEndpointLimits()
              .withLimits(limits.limits().stream().map(PeerCodec::toWire).toList());
      case PeerMessage.AttemptLost lost ->
          new WireAttemptLost()
              .withFingerprint(lost.attempt().fingerprint().value())
              .withEndpoint(lost.attempt().endpoint().id().value())
              .withStartTimeMillis(lost.attempt().endpoint().startTimeMillis());
      case PeerMessage.RequestSurvived survived ->
          new WireRequestSurvived().withFingerprint(survived.fingerprint().value());
      case PeerMessage.RequestBlocks blocks ->
          new WireRequestBlocks()
              .withBlocks(blocks.blocks().stream().map(PeerCodec::toWire).toList());
      case PeerMessage.RowsUpdate update ->
          new WireRowsKnown()
              .withTable(update.table())
              .withEra(update.era())
              .withAfterVersion(update.afterVersion())
              .withVersion(update.version())
              .withCurrent(update.current())
              .withContentHash(update.contentHash())
              .withRows(update.rows().stream().map(PeerCodec::toWire).toList());
      case PeerMessage.ConfigObjects objects ->
          new WireConfigObjects()
              .withObjects(objects.objects().stream().map(PeerCodec::toWire).toList());
    };
  }

  private static WireLeavingEndpoint toWire(EndpointIncarnation endpoint) {
    return new WireLeavingEndpoint()
        .withId(endpoint.id().value())
        .withStartTimeMillis(endpoint.startTimeMillis());
  }

  private static EndpointIncarnation fromWire(WireLeavingEndpoint endpoint) {
    return new EndpointIncarnation(new EndpointId(endpoint.getId()), endpoint.getStartTimeMillis());
  }

  private static WireEndpointLimit toWire(EndpointLimit limit) {
    return new WireEndpointLimit()
        .withId(limit.endpoint().id().value())
        .withStartTimeMillis(limit.endpoint().startTimeMillis())
        .withRequestsPerSecond(limit.requestsPerSecond().orElse(null));
  }

  private static EndpointLimit fromWire(WireEndpointLimit limit) {
    return new EndpointLimit(
        new EndpointIncarnation(new EndpointId(limit.getId()), limit.getStartTimeMillis()),
        Optional.ofNullable(limit.getRequestsPerSecond()));
  }

  private static WireRequestBlock toWire(RequestBlock block) {
    return new WireRequestBlock()
        .withFingerprint(block.fingerprint().value())
        .withTimesBlocked((long) block.timesBlocked())
        .withRemainingMillis(block.remainingMillis());
  }

  private static RequestBlock fromWire(WireRequestBlock block) {
    return new RequestBlock(
        new RequestFingerprint(block.getFingerprint()),
        Math.toIntExact(block.getTimesBlocked()),
        block.getRemainingMillis());
  }

  private static WireKnownRow toWire(PeerMessage.VersionedRow row) {
    return new WireKnownRow()
        .withKey(row.key())
        .withVersion(row.version())
        .withValue(row.value().orElse(null));
  }

  private static PeerMessage.VersionedRow fromWire(WireKnownRow row) {
    return new PeerMessage.VersionedRow(
        row.getKey(), row.getVersion(), Optional.ofNullable(row.getValue()));
  }

  private static WireConfigObject toWire(PeerMessage.ConfigObject object) {
    return new WireConfigObject()
        .withHash(object.hash())
        .withContent(object.content().orElse(null));
  }

  /** Returns the message in the content of a frame, or why it can't be decoded. */
  public static Either<FrameProblem, Frame> decode(byte[] content) {
    if (!isSingleCompleteValue(content)) {
      return Either.left(
          new FrameProblem.Malformed("frame is not exactly one complete MessagePack value"));
    }
    try (JsonParser parser = WireLayouts.current().createParser(content)) {
      return decode(parser);
    } catch (IOException | RuntimeException e) {
      return Either.left(new FrameProblem.Malformed(String.valueOf(e.getMessage())));
    }
  }

  /**
   * Returns whether {@code content} is exactly one value, with all declared lengths within the
   * content. This is checked before payloads are read, since their reader allocates as many bytes
   * as a length field declares.
   */
  private static boolean isSingleCompleteValue(byte[] content) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(content)) {
      unpacker.skipValue();
      return unpacker.getTotalReadBytes() == content.length;
    } catch (IOException | RuntimeException e) {
      return false;
    }
  }

  private static Either<FrameProblem, Frame> decode(JsonParser parser) throws IOException {
    if (parser.nextToken() != JsonToken.START_ARRAY) {
      return Either.left(new FrameProblem.Malformed("frame is not an array"));
    }
    int version = nextInt(parser);
    if (version != PROTOCOL_VERSION) {
      return Either.left(new FrameProblem.UnknownVersion(version));
    }
    int number = nextInt(parser);
    long correlationId = nextLong(parser);
    Optional<MessageKind> kind = MessageKind.forNumber(number);
    if (kind.isEmpty()) {
      return Either.left(new FrameProblem.UnknownKind(number));
    }
    parser.nextToken();
    Object payload = readPayload(parser, kind.get());
    if (kind.get() == MessageKind.HELLO && parser.nextToken() == JsonToken.START_ARRAY) {
      payload = readPayload(parser, kind.get());
    }
    return Either.right(new Frame(correlationId, fromWire(payload)));
  }

  private static Object readPayload(JsonParser parser, MessageKind kind) throws IOException {
    return WireLayouts.current().readValue(parser, kind.payloadClass());
  }

  private static int nextInt(JsonParser parser) throws IOException {
    parser.nextToken();
    return parser.getIntValue();
  }

  private static long nextLong(JsonParser parser) throws IOException {
    parser.nextToken();
    return parser.getLongValue();
  }

  private static PeerMessage fromWire(Object payload) {
    return switch (payload) {
      case WireHello w ->
          new PeerMessage.Hello(
              MemberMessageMapper.fromWire(w.getMember()), Optional.ofNullable(w.getBuild()));
      case WireConfigAnnounce w ->
          new PeerMessage.ConfigAnnounce(new ConfigVersion(w.getVersion()), w.getRootHash());
      case WireRowsWanted w ->
          new PeerMessage.RowsRequest(w.getTable(), w.getEra(), w.getAfterVersion());
      case WireEndpointsLeaving w ->
          new PeerMessage.EndpointsLeaving(
              w.getEndpoints().stream().map(PeerCodec::fromWire).toList());
      case WireEndpointLimits w ->
          new PeerMessage.EndpointLimits(w.getLimits().stream().map(PeerCodec::fromWire).toList());
      case WireAttemptLost w ->
          new PeerMessage.AttemptLost(
              new LostAttempt(
                  new RequestFingerprint(w.getFingerprint()),
                  new EndpointIncarnation(
                      new EndpointId(w.getEndpoint()), w.getStartTimeMillis())));
      case WireRequestSurvived w ->
          new PeerMessage.RequestSurvived(new RequestFingerprint(w.getFingerprint()));
      case WireRequestBlocks w ->
          new PeerMessage.RequestBlocks(w.getBlocks().stream().map(PeerCodec::fromWire).toList());
      case WireRowsKnown w ->
          new PeerMessage.RowsUpdate(
              w.getTable(),
              w.getEra(),
              w.getAfterVersion(),
              w.getVersion(),
              w.getCurrent(),
              w.getContentHash(),
              w.getRows().stream().map(PeerCodec::fromWire).toList());
      case WireConfigFetch w -> new PeerMessage.ConfigFetch(w.getHashes());
      case WireConfigObjects w -> fromWire(w);
      case WireHeartbeat w -> new PeerMessage.Membership(MemberMessageMapper.fromWire(w));
      case WireDigestSummary w -> new PeerMessage.Membership(MemberMessageMapper.fromWire(w));
      case WireSuperseded w ->
          new PeerMessage.Membership(new MemberMessage.Superseded(w.getKnownNumber()));
      case WireDigests w -> new PeerMessage.Membership(MemberMessageMapper.fromWire(w));
      case WireLeaseRequest w -> new PeerMessage.Permits(PermitMessageMapper.fromWire(w));
      case WireLeaseWithdrawal w -> new PeerMessage.Permits(PermitMessageMapper.fromWire(w));
      case WireLeaseTransfer w -> new PeerMessage.Permits(PermitMessageMapper.fromWire(w));
      case WireLeaseReturn w -> new PeerMessage.Permits(PermitMessageMapper.fromWire(w));
      case WireLeaseRenewal w -> new PeerMessage.Permits(PermitMessageMapper.fromWire(w));
      case WireLeaseRenewed w -> new PeerMessage.Permits(PermitMessageMapper.fromWire(w));
      case WirePermitsWanted w -> new PeerMessage.Permits(PermitMessageMapper.fromWire(w));
      case WireConfirmOwnership w -> new PeerMessage.Permits(PermitMessageMapper.fromWire(w));
      case WireOwnershipConfirmed w -> new PeerMessage.Permits(PermitMessageMapper.fromWire(w));
      case WireOwnershipAdvertised w -> new PeerMessage.Permits(PermitMessageMapper.fromWire(w));
      case WireHandover w -> new PeerMessage.Permits(PermitMessageMapper.fromWire(w));
      case WireHandoverReceived w -> new PeerMessage.Permits(PermitMessageMapper.fromWire(w));
      case WireStopAnnounced w -> new PeerMessage.Permits(PermitMessageMapper.fromWire(w));
      case WireQuotaShares w -> new PeerMessage.Quota(QuotaMessageMapper.fromWire(w));
      case WireQuotaMark w -> new PeerMessage.Quota(QuotaMessageMapper.fromWire(w));
      case WireQuotaAsk w -> new PeerMessage.Quota(QuotaMessageMapper.fromWire(w));
      case WireQuotaGrant w -> new PeerMessage.Quota(QuotaMessageMapper.fromWire(w));
      case WireQuotaReturn w -> new PeerMessage.Quota(QuotaMessageMapper.fromWire(w));
      default -> throw new IllegalArgumentException("no message has payload " + payload.getClass());
    };
  }

  private static PeerMessage fromWire(WireConfigObjects wire) {
    List<PeerMessage.ConfigObject> objects =
        wire.getObjects().stream()
            .map(
                object ->
                    new PeerMessage.ConfigObject(
                        object.getHash(), Optional.ofNullable(object.getContent())))
            .toList();
    return new PeerMessage.ConfigObjects(objects);
  }
}
