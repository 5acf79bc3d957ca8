package org.mustardstage.entry.traffic;

import java.util.Optional;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.manifest.HostAndPort;

/** Finds the address of the home VM of an idempotency key. Called on traffic threads. */
@FunctionalInterface
public interface KeyHomeLocator {
  /** Returns the traffic address of {@code home}, or empty if that incarnation is gone. */
  Optional<HostAndPort> findTrafficAddress(VmIncarnation home);
}
