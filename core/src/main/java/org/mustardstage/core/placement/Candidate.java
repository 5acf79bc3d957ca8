package org.mustardstage.core.placement;

import java.util.Optional;
import org.mustardstage.core.id.RegionId;

/**
 * An endpoint that may serve a request, with the expected times and the cost.
 *
 * @param otherRegion the endpoint's region if it is another one than the VM's
 * @param warmProbability the probability, from 0 to 1, that the affinity key is warm there
 * @param waitNanos the expected wait for a slot; 0 if one is free
 * @param responseNanos the expected time to a response once a slot is free
 * @param coldResponseNanos the same if the affinity key turns out to be cold there
 * @param cost the expected time to a response plus penalties; the lowest cost is chosen
 */
record Candidate(
    EndpointState state,
    Optional<RegionId> otherRegion,
    double warmProbability,
    double waitNanos,
    double responseNanos,
    double coldResponseNanos,
    double cost) {
  boolean hasFreeSlot() {
    return waitNanos == 0;
  }
}
