package org.mustardstage.entry.control;

import java.util.Optional;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;

/**
 * What traffic threads need to know, as the control thread last published it. It never changes.
 *
 * @param self this run of this entry VM
 * @param zone the zone of this entry VM
 * @param region the region of this entry VM
 * @param trafficAddress where callers reach this entry VM
 * @param version the version of the manifest in force
 * @param manifest the manifest in force, absent before the first
 * @param stopping whether this entry VM is stopping
 */
public record Snapshot(
    VmIncarnation self,
    ZoneId zone,
    RegionId region,
    HostAndPort trafficAddress,
    ConfigVersion version,
    Optional<Manifest> manifest,
    boolean stopping) {}
