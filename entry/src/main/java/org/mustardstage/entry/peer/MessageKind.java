package org.mustardstage.entry.peer;

import java.util.Arrays;
import java.util.Optional;
import org.mustardstage.schema.generated.WireAttemptLost;
import org.mustardstage.schema.generated.WireConfigAnnounce;
import org.mustardstage.schema.generated.WireConfigFetch;
import org.mustardstage.schema.generated.WireConfigObjects;
import org.mustardstage.schema.generated.WireConfirmOwnership;
import org.mustardstage.schema.generated.WireDigestSummary;
import org.mustardstage.schema.generated.WireDigests;
import org.mustardstage.schema.generated.WireEndpointLimits;
import org.mustardstage.schema.generated.WireEndpointsLeaving;
import org.mustardstage.schema.generated.WireHandover;
import org.mustardstage.schema.generated.WireHandoverReceived;
import org.mustardstage.schema.generated.WireHeartbeat;
import org.mustardstage.schema.generated.WireHello;
import org.mustardstage.schema.generated.WireLeaseRenewal;
import org.mustardstage.schema.generated.WireLeaseRenewed;
import org.mustardstage.schema.generated.WireLeaseRequest;
import org.mustardstage.schema.generated.WireLeaseReturn;
import org.mustardstage.schema.generated.WireLeaseTransfer;
import org.mustardstage.schema.generated.WireLeaseWithdrawal;
import org.mustardstage.schema.generated.WireOwnershipAdvertised;
import org.mustardstage.schema.generated.WireOwnershipConfirmed;
import org.mustardstage.schema.generated.WirePermitsWanted;
import org.mustardstage.schema.generated.WireQuotaAsk;
import org.mustardstage.schema.generated.WireQuotaGrant;
import org.mustardstage.schema.generated.WireQuotaMark;
import org.mustardstage.schema.generated.WireQuotaReturn;
import org.mustardstage.schema.generated.WireQuotaShares;
import org.mustardstage.schema.generated.WireRequestBlocks;
import org.mustardstage.schema.generated.WireRequestSurvived;
import org.mustardstage.schema.generated.WireRowsKnown;
import org.mustardstage.schema.generated.WireRowsWanted;
import org.mustardstage.schema.generated.WireStopAnnounced;
import org.mustardstage.schema.generated.WireSuperseded;

/**
 * A kind of message, with its number in a frame and the wire class of its payload. A number is
 * never reused for another kind.
 */
enum MessageKind {
  HELLO(1, WireHello.class),
  HEARTBEAT(2, WireHeartbeat.class),
  DIGEST_SUMMARY(3, WireDigestSummary.class),
  DIGESTS(4, WireDigests.class),
  CONFIG_ANNOUNCE(5, WireConfigAnnounce.class),
  CONFIG_FETCH(6, WireConfigFetch.class),
  CONFIG_OBJECTS(7, WireConfigObjects.class),
  LEASE_REQUEST(8, WireLeaseRequest.class),
  LEASE_WITHDRAWAL(9, WireLeaseWithdrawal.class),
  LEASE_TRANSFER(10, WireLeaseTransfer.class),
  LEASE_RETURN(11, WireLeaseReturn.class),
  LEASE_RENEWAL(12, WireLeaseRenewal.class),
  LEASE_RENEWED(13, WireLeaseRenewed.class),
  PERMITS_WANTED(14, WirePermitsWanted.class),
  CONFIRM_OWNERSHIP(15, WireConfirmOwnership.class),
  OWNERSHIP_CONFIRMED(16, WireOwnershipConfirmed.class),
  OWNERSHIP_ADVERTISED(17, WireOwnershipAdvertised.class),
  HANDOVER(18, WireHandover.class),
  HANDOVER_RECEIVED(19, WireHandoverReceived.class),
  STOP_ANNOUNCED(20, WireStopAnnounced.class),
  ROWS_WANTED(21, WireRowsWanted.class),
  ROWS_KNOWN(22, WireRowsKnown.class),
  ENDPOINTS_LEAVING(23, WireEndpointsLeaving.class),
  SUPERSEDED(24, WireSuperseded.class),
  ENDPOINT_LIMITS(25, WireEndpointLimits.class),
  ATTEMPT_LOST(26, WireAttemptLost.class),
  REQUEST_SURVIVED(27, WireRequestSurvived.class),
  REQUEST_BLOCKS(28, WireRequestBlocks.class),
  QUOTA_SHARES(29, WireQuotaShares.class),
  QUOTA_MARK(30, WireQuotaMark.class),
  QUOTA_ASK(31, WireQuotaAsk.class),
  QUOTA_GRANT(32, WireQuotaGrant.class),
  QUOTA_RETURN(33, WireQuotaReturn.class);

  private final int number;
  private final Class<?> payloadClass;

  MessageKind(int number, Class<?> payloadClass) {
    this.number = number;
    this.payloadClass = payloadClass;
  }

  int number() {
    return number;
  }

  Class<?> payloadClass() {
    return payloadClass;
  }

  static Optional<MessageKind> forNumber(int number) {
    return Arrays.stream(values()).filter(kind -> kind.number == number).findFirst();
  }

  static MessageKind forPayload(Object payload) {
    return Arrays.stream(values())
        .filter(kind -> kind.payloadClass.isInstance(payload))
        .findFirst()
        .orElseThrow(
            () ->
                new IllegalArgumentException("no message kind has payload " + payload.getClass()));
  }
}
