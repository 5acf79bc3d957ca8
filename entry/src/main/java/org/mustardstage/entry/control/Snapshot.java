package org.mustardstage.entry.control;

import java.util.Optional;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;

/**
 * An immutable snapshot of the control state, published by the control thread for traffic threads.
 *
 * @param self the incarnation of this entry VM
 * @param zone the zone of this entry VM
 * @param region the region of this entry VM
 * @param trafficAddress the address at which callers connect to this entry VM
 * @param version the version of the active manifest
 * @param manifest the active manifest, empty until the first one is activated
 * @param stopping whether this entry VM is stopping and rejects new requests
 */
public record Snapshot(
    VmIncarnation self,
    ZoneId zone,
    RegionId region,
    HostAndPort trafficAddress,
    ConfigVersion version,
    Optional<Manifest> manifest,
    boolean stopping) {}
