package org.mustardstage.core.manifest;

import org.mustardstage.core.id.DrainId;

/** A planned drain. Its target gets no new work while the active manifest contains the drain. */
public record Drain(DrainId id, DrainTarget target) {}
