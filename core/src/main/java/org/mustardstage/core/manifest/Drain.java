package org.mustardstage.core.manifest;

import org.mustardstage.core.id.DrainId;

/** A planned drain: its target gets no new work while the manifest holds it. */
public record Drain(DrainId id, DrainTarget target) {}
