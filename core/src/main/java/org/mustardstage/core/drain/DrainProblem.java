package org.mustardstage.core.drain;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.mustardstage.core.id.DrainId;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;

/** Why the drains of a manifest are refused. */
public sealed interface DrainProblem {
  /** The drain names an endpoint that no service has. */
  record UnknownEndpoint(DrainId drain, EndpointId endpoint) implements DrainProblem {}

  /** The drain names a zone that the manifest does not have. */
  record UnknownZone(DrainId drain, ZoneId zone) implements DrainProblem {}

  /** The drain names an entry VM that the platform's list does not have. */
  record UnknownEntryVm(DrainId drain, VmId vm) implements DrainProblem {}

  /** Two drains have the same target. */
  record DuplicateTarget(DrainId first, DrainId second) implements DrainProblem {}

  /**
   * All drains together leave a service too little.
   *
   * @param service the service
   * @param slotsLeft the slots that would be left
   * @param slotsNeeded the slots that must be left
   * @param drains the drains that take slots from the service
   */
  record TooFewSlotsLeft(ServiceName service, int slotsLeft, int slotsNeeded, List<DrainId> drains)
      implements DrainProblem {
    /** Copies the list. */
    public TooFewSlotsLeft {
      drains = ImmutableList.copyOf(drains);
    }
  }

  /**
   * The regions that still have endpoints may not carry all requests of a service.
   *
   * @param service the service
   * @param shareLeft the sum of the largest shares of these regions
   */
  record TooSmallShareLeft(ServiceName service, double shareLeft) implements DrainProblem {}

  /** All entry VMs of a zone would leave the look-up answers. */
  record NoEntryVmLeft(ZoneId zone) implements DrainProblem {}
}
