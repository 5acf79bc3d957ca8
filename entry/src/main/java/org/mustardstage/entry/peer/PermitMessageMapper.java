package org.mustardstage.entry.peer;

import java.util.List;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.permit.LimitId;
import org.mustardstage.core.permit.PermitMessage;
import org.mustardstage.schema.generated.WireConfirmOwnership;
import org.mustardstage.schema.generated.WireHandedPermit;
import org.mustardstage.schema.generated.WireHandover;
import org.mustardstage.schema.generated.WireHandoverReceived;
import org.mustardstage.schema.generated.WireIncarnation;
import org.mustardstage.schema.generated.WireLeaseName;
import org.mustardstage.schema.generated.WireLeaseRenewal;
import org.mustardstage.schema.generated.WireLeaseRenewed;
import org.mustardstage.schema.generated.WireLeaseRequest;
import org.mustardstage.schema.generated.WireLeaseReturn;
import org.mustardstage.schema.generated.WireLeaseTransfer;
import org.mustardstage.schema.generated.WireLeaseWithdrawal;
import org.mustardstage.schema.generated.WireLeasedPermit;
import org.mustardstage.schema.generated.WireOwnershipAdvertised;
import org.mustardstage.schema.generated.WireOwnershipConfirmed;
import org.mustardstage.schema.generated.WirePermitsWanted;
import org.mustardstage.schema.generated.WireStopAnnounced;

/** Converts messages of the permit protocol to their generated wire classes and back. */
final class PermitMessageMapper {
  private PermitMessageMapper() {}

  static Object toWire(PermitMessage message) {
    return switch (message) {
      case PermitMessage.LeaseRequest m -> toWire(m);
      case PermitMessage.LeaseWithdrawal m ->
          new WireLeaseWithdrawal()
              .withCorrelationId(m.correlationId())
              .withClockMark(m.timestampId());
      case PermitMessage.LeaseTransfer m ->
          new WireLeaseTransfer()
              .withCorrelationId(m.correlationId())
              .withClockMark(m.timestampId())
              .withCountedFromMark(m.baseTimestampId())
              .withPermits(toWirePermits(m.permits()));
      case PermitMessage.LeaseReturn m ->
          new WireLeaseReturn()
              .withClockMark(m.timestampId())
              .withLeases(toWireLeaseNames(m.leases()));
      case PermitMessage.LeaseRenewal m ->
          new WireLeaseRenewal()
              .withClockMark(m.timestampId())
              .withLeases(toWireLeaseNames(m.leases()));
      case PermitMessage.LeaseRenewed m ->
          new WireLeaseRenewed()
              .withClockMark(m.timestampId())
              .withCountedFromMark(m.baseTimestampId())
              .withPermits(toWirePermits(m.permits()));
      case PermitMessage.PermitsWanted m ->
          new WirePermitsWanted()
              .withClockMark(m.timestampId())
              .withLimits(toLimitValues(m.limits()))
              .withDurationNanos(m.durationNanos());
      case PermitMessage.ConfirmOwnership m ->
          new WireConfirmOwnership()
              .withCorrelationId(m.correlationId())
              .withClockMark(m.timestampId())
              .withZone(m.zone().value())
              .withRevision(m.revision());
      case PermitMessage.OwnershipConfirmed m ->
          new WireOwnershipConfirmed()
              .withCorrelationId(m.correlationId())
              .withClockMark(m.timestampId())
              .withZone(m.zone().value())
              .withRevision(m.revision());
      case PermitMessage.OwnershipAdvertised m ->
          new WireOwnershipAdvertised()
              .withClockMark(m.timestampId())
              .withZone(m.zone().value())
              .withRevision(m.revision())
              .withOwners(m.owners().stream().map(PermitMessageMapper::toWire).toList());
      case PermitMessage.Handover m -> toWire(m);
      case PermitMessage.HandoverReceived m ->
          new WireHandoverReceived().withHandoverId(m.handoverId()).withClockMark(m.timestampId());
      case PermitMessage.StopAnnounced m -> new WireStopAnnounced().withClockMark(m.timestampId());
    };
  }

  private static WireLeaseRequest toWire(PermitMessage.LeaseRequest m) {
    return new WireLeaseRequest()
        .withCorrelationId(m.correlationId())
        .withClockMark(m.timestampId())
        .withLimits(toLimitValues(m.limits()))
        .withWanted((long) m.wanted())
        .withAhead((long) m.prefetch())
        .withDurationNanos(m.durationNanos())
        .withPatienceNanos(m.waitTimeoutNanos());
  }

  private static WireHandover toWire(PermitMessage.Handover m) {
    return new WireHandover()
        .withHandoverId(m.handoverId())
        .withClockMark(m.timestampId())
        .withZone(m.zone().value())
        .withExpectedRevision(m.expectedRevision())
        .withParts(m.parts().stream().map(Integer::longValue).toList())
        .withPermits(m.permits().stream().map(PermitMessageMapper::toWire).toList());
  }

  private static WireHandedPermit toWire(PermitMessage.HandedOverPermit permit) {
    return new WireHandedPermit()
        .withLimit(permit.limit().value())
        .withNumber((long) permit.number())
        .withStamp(permit.fencingToken())
        .withUnusableNanos(permit.unusableNanos());
  }

  private static WireIncarnation toWire(VmIncarnation incarnation) {
    return new WireIncarnation().withVm(incarnation.vm().value()).withNumber(incarnation.number());
  }

  private static List<String> toLimitValues(List<LimitId> limits) {
    return limits.stream().map(LimitId::value).toList();
  }

  private static List<WireLeasedPermit> toWirePermits(List<PermitMessage.LeasedPermit> permits) {
    return permits.stream().map(PermitMessageMapper::toWire).toList();
  }

  private static WireLeasedPermit toWire(PermitMessage.LeasedPermit permit) {
    return new WireLeasedPermit()
        .withLimit(permit.limit().value())
        .withNumber((long) permit.number())
        .withStamp(permit.fencingToken())
        .withOwnerVm(permit.owner().vm().value())
        .withOwnerIncarnation(permit.owner().number())
        .withDurationNanos(permit.durationNanos());
  }

  private static List<WireLeaseName> toWireLeaseNames(List<PermitMessage.LeaseId> leases) {
    return leases.stream()
        .map(
            lease ->
                new WireLeaseName()
                    .withLimit(lease.limit().value())
                    .withNumber((long) lease.number())
                    .withStamp(lease.fencingToken()))
        .toList();
  }

  static PermitMessage fromWire(WireLeaseRequest w) {
    return new PermitMessage.LeaseRequest(
        w.getCorrelationId(),
        w.getClockMark(),
        fromLimitValues(w.getLimits()),
        Math.toIntExact(w.getWanted()),
        Math.toIntExact(w.getAhead()),
        w.getDurationNanos(),
        w.getPatienceNanos());
  }

  static PermitMessage fromWire(WireLeaseWithdrawal w) {
    return new PermitMessage.LeaseWithdrawal(w.getCorrelationId(), w.getClockMark());
  }

  static PermitMessage fromWire(WireLeaseTransfer w) {
    return new PermitMessage.LeaseTransfer(
        w.getCorrelationId(),
        w.getClockMark(),
        w.getCountedFromMark(),
        fromWirePermits(w.getPermits()));
  }

  static PermitMessage fromWire(WireLeaseReturn w) {
    return new PermitMessage.LeaseReturn(w.getClockMark(), fromWireLeaseNames(w.getLeases()));
  }

  static PermitMessage fromWire(WireLeaseRenewal w) {
    return new PermitMessage.LeaseRenewal(w.getClockMark(), fromWireLeaseNames(w.getLeases()));
  }

  static PermitMessage fromWire(WireLeaseRenewed w) {
    return new PermitMessage.LeaseRenewed(
        w.getClockMark(), w.getCountedFromMark(), fromWirePermits(w.getPermits()));
  }

  static PermitMessage fromWire(WirePermitsWanted w) {
    return new PermitMessage.PermitsWanted(
        w.getClockMark(), fromLimitValues(w.getLimits()), w.getDurationNanos());
  }

  static PermitMessage fromWire(WireConfirmOwnership w) {
    return new PermitMessage.ConfirmOwnership(
        w.getCorrelationId(), w.getClockMark(), new ZoneId(w.getZone()), w.getRevision());
  }

  static PermitMessage fromWire(WireOwnershipConfirmed w) {
    return new PermitMessage.OwnershipConfirmed(
        w.getCorrelationId(), w.getClockMark(), new ZoneId(w.getZone()), w.getRevision());
  }

  static PermitMessage fromWire(WireOwnershipAdvertised w) {
    return new PermitMessage.OwnershipAdvertised(
        w.getClockMark(),
        new ZoneId(w.getZone()),
        w.getRevision(),
        w.getOwners().stream().map(PermitMessageMapper::fromWire).toList());
  }

  static PermitMessage fromWire(WireHandover w) {
    return new PermitMessage.Handover(
        w.getHandoverId(),
        w.getClockMark(),
        new ZoneId(w.getZone()),
        w.getExpectedRevision(),
        w.getParts().stream().map(Math::toIntExact).toList(),
        w.getPermits().stream().map(PermitMessageMapper::fromWire).toList());
  }

  static PermitMessage fromWire(WireHandoverReceived w) {
    return new PermitMessage.HandoverReceived(w.getHandoverId(), w.getClockMark());
  }

  static PermitMessage fromWire(WireStopAnnounced w) {
    return new PermitMessage.StopAnnounced(w.getClockMark());
  }

  private static PermitMessage.HandedOverPermit fromWire(WireHandedPermit w) {
    return new PermitMessage.HandedOverPermit(
        new LimitId(w.getLimit()),
        Math.toIntExact(w.getNumber()),
        w.getStamp(),
        w.getUnusableNanos());
  }

  private static VmIncarnation fromWire(WireIncarnation w) {
    return new VmIncarnation(new VmId(w.getVm()), w.getNumber());
  }

  private static List<LimitId> fromLimitValues(List<String> limits) {
    return limits.stream().map(LimitId::new).toList();
  }

  private static List<PermitMessage.LeasedPermit> fromWirePermits(List<WireLeasedPermit> permits) {
    return permits.stream().map(PermitMessageMapper::fromWire).toList();
  }

  private static PermitMessage.LeasedPermit fromWire(WireLeasedPermit w) {
    return new PermitMessage.LeasedPermit(
        new LimitId(w.getLimit()),
        Math.toIntExact(w.getNumber()),
        w.getStamp(),
        new VmIncarnation(new VmId(w.getOwnerVm()), w.getOwnerIncarnation()),
        w.getDurationNanos());
  }

  private static List<PermitMessage.LeaseId> fromWireLeaseNames(List<WireLeaseName> leases) {
    return leases.stream()
        .map(
            w ->
                new PermitMessage.LeaseId(
                    new LimitId(w.getLimit()), Math.toIntExact(w.getNumber()), w.getStamp()))
        .toList();
  }
}
