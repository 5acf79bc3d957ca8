package org.mustardstage.core.permit;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/**
 * A message between agents. No message holds a clock time, because the clocks of the VMs are
 * independent. A timestamp id is an opaque number that only its sender can resolve to a time of its
 * own clock, which is not after the sending of the message. The duration of a lease that is
 * transferred to a VM counts from the latest timestamp id received from that VM.
 */
public sealed interface PermitMessage {
  /** Returns the timestamp id of the sender. */
  long timestampId();

  /**
   * A lease of one permit.
   *
   * @param limit the limit of the permit
   * @param number the number of the permit
   * @param fencingToken a number that increases with each lease of the permit and each transfer
   * @param owner the owner that issued the lease
   * @param durationNanos the duration of the lease
   */
  record LeasedPermit(
      LimitId limit, int number, long fencingToken, VmIncarnation owner, long durationNanos) {}

  /** Identifies a lease of one permit. */
  record LeaseId(LimitId limit, int number, long fencingToken) {}

  /**
   * A permit of a part that changes its owner.
   *
   * @param limit the limit of the permit
   * @param number the number of the permit
   * @param fencingToken the largest fencing token issued
   * @param unusableNanos how long the permit may still be leased or in use; 0 if it is free
   */
  record HandedOverPermit(LimitId limit, int number, long fencingToken, long unusableNanos) {}

  /**
   * Requests leases of permits of any of the limits.
   *
   * @param correlationId identifies the request; a later one from the same VM replaces it
   * @param timestampId the timestamp id of the sender
   * @param limits the limits, the preferred one first
   * @param wanted how many permits the queued requests of the sender need
   * @param prefetch how many more permits are requested ahead of demand
   * @param durationNanos how long the leases must last
   * @param waitTimeoutNanos how long the request may be queued
   */
  record LeaseRequest(
      long correlationId,
      long timestampId,
      List<LimitId> limits,
      int wanted,
      int prefetch,
      long durationNanos,
      long waitTimeoutNanos)
      implements PermitMessage {
    /** Copies the list. */
    public LeaseRequest {
      limits = ImmutableList.copyOf(limits);
    }
  }

  /** Withdraws the queued lease request. */
  record LeaseWithdrawal(long correlationId, long timestampId) implements PermitMessage {}

  /**
   * Transfers leases; the sender keeps no right to the permits.
   *
   * @param correlationId the request that the transfer responds to; 0 for idle permits that were
   *     not requested
   * @param timestampId the timestamp id of the sender
   * @param baseTimestampId the timestamp id of the receiver from which the durations count
   * @param permits the leases
   */
  record LeaseTransfer(
      long correlationId, long timestampId, long baseTimestampId, List<LeasedPermit> permits)
      implements PermitMessage {
    /** Copies the list. */
    public LeaseTransfer {
      permits = ImmutableList.copyOf(permits);
    }
  }

  /** Returns leases to the owner; the sender keeps no right to the permits. */
  record LeaseReturn(long timestampId, List<LeaseId> leases) implements PermitMessage {
    /** Copies the list. */
    public LeaseReturn {
      leases = ImmutableList.copyOf(leases);
    }
  }

  /** Requests the renewal of leases from the owner. */
  record LeaseRenewal(long timestampId, List<LeaseId> leases) implements PermitMessage {
    /** Copies the list. */
    public LeaseRenewal {
      leases = ImmutableList.copyOf(leases);
    }
  }

  /** Renews leases. Their durations count from the timestamp id of the renewal request. */
  record LeaseRenewed(long timestampId, long baseTimestampId, List<LeasedPermit> permits)
      implements PermitMessage {
    /** Copies the list. */
    public LeaseRenewed {
      permits = ImmutableList.copyOf(permits);
    }
  }

  /**
   * Asks for idle permits of the limits, which the receivers send to the sender for the given time.
   */
  record PermitsWanted(long timestampId, List<LimitId> limits, long durationNanos)
      implements PermitMessage {
    /** Copies the list. */
    public PermitsWanted {
      limits = ImmutableList.copyOf(limits);
    }
  }

  /** Requests a confirmation that the ownership list of a zone still has the revision. */
  record ConfirmOwnership(long correlationId, long timestampId, ZoneId zone, long revision)
      implements PermitMessage {}

  /** Confirms that the sender knows no newer revision of the ownership list. */
  record OwnershipConfirmed(long correlationId, long timestampId, ZoneId zone, long revision)
      implements PermitMessage {}

  /** Sends the ownership list of a zone. */
  record OwnershipAdvertised(
      long timestampId, ZoneId zone, long revision, List<VmIncarnation> owners)
      implements PermitMessage {
    /** Copies the list. */
    public OwnershipAdvertised {
      owners = ImmutableList.copyOf(owners);
    }
  }

  /**
   * Describes the permits of parts to their new owner, so that it can use them at once.
   *
   * @param handoverId identifies the handover
   * @param timestampId the timestamp id of the sender
   * @param zone the zone
   * @param expectedRevision the revision of the list that the change of ownership replaced
   * @param parts the parts
   * @param permits the permits of the parts that the sender knows
   */
  record Handover(
      long handoverId,
      long timestampId,
      ZoneId zone,
      long expectedRevision,
      List<Integer> parts,
      List<HandedOverPermit> permits)
      implements PermitMessage {
    /** Copies the lists. */
    public Handover {
      parts = ImmutableList.copyOf(parts);
      permits = ImmutableList.copyOf(permits);
    }
  }

  /** Confirms that a handover was received. */
  record HandoverReceived(long handoverId, long timestampId) implements PermitMessage {}

  /** Announces that the sender is stopping and must receive no parts and no idle permits. */
  record StopAnnounced(long timestampId) implements PermitMessage {}
}
