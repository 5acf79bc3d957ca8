package org.mustardstage.entry.traffic;

import java.util.Optional;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.manifest.HostAndPort;

/** Finds the entry VM that is home to an idempotency key. It is called on traffic threads. */
@FunctionalInterface
public interface KeyHomeLocator {
  /** Returns the traffic address of {@code home}, or empty when that run of the VM is gone. */
  Optional<HostAndPort> findTrafficAddress(VmIncarnation home);
}
