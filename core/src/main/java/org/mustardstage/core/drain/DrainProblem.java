package org.mustardstage.core.drain;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.mustardstage.core.id.DrainId;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;

/** A reason to reject the drains of a manifest. */
public sealed interface DrainProblem {
  /** The drain names an endpoint that no service has. */
  record UnknownEndpoint(DrainId drain, EndpointId endpoint) implements DrainProblem {}

  /** The drain names a zone that the manifest does not declare. */
  record UnknownZone(DrainId drain, ZoneId zone) implements DrainProblem {}

  /** The drain names an entry VM that is not in the platform's list. */
  record UnknownEntryVm(DrainId drain, VmId vm) implements DrainProblem {}

  /** Two drains have the same target. */
  record DuplicateTarget(DrainId first, DrainId second) implements DrainProblem {}

  /**
   * The drains together leave a service too few slots.
   *
   * @param service the service
   * @param slotsLeft the slots that would remain
   * @param slotsNeeded the slots that must remain
   * @param drains the drains that remove slots of the service
   */
  record TooFewSlotsLeft(ServiceName service, int slotsLeft, int slotsNeeded, List<DrainId> drains)
      implements DrainProblem {
    /** Copies the list. */
    public TooFewSlotsLeft {
      drains = ImmutableList.copyOf(drains);
    }
  }

  /**
   * The limits of the regions that still have endpoints do not allow all requests of a service.
   *
   * @param service the service
   * @param shareLeft the sum of the largest shares that these regions may carry
   */
  record TooSmallShareLeft(ServiceName service, double shareLeft) implements DrainProblem {}

  /** All entry VMs of a zone would be left out of lookup responses. */
  record NoEntryVmLeft(ZoneId zone) implements DrainProblem {}
}
