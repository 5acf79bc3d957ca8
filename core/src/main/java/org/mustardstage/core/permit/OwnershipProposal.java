package org.mustardstage.core.permit;

import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableList;
import java.util.List;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/**
 * A conditional write of the ownership row of a zone. After each result except {@link
 * ProposalResult#UNAVAILABLE}, the row is read again and passed to {@link
 * PermitAgent#updateOwnership}.
 *
 * @param proposalId identifies the proposal among those of this agent
 * @param zone the zone
 * @param expectedRevision the revision that the row must have; 0 means absent
 * @param owners the new owner of each part
 */
public record OwnershipProposal(
    long proposalId, ZoneId zone, long expectedRevision, List<VmIncarnation> owners) {
  /** Checks that every part has an owner. */
  public OwnershipProposal {
    owners = ImmutableList.copyOf(owners);
    Preconditions.checkArgument(
        owners.size() == OwnershipList.PART_COUNT, "owners must name one VM for each part");
  }
}
