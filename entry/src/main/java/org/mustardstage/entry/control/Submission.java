package org.mustardstage.entry.control;

import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.SubmissionId;

/**
 * A manifest that an operator wants in force.
 *
 * @param id names the submission; the same id is never accepted twice
 * @param baseVersion the version that the submitter has seen
 * @param submitter who submits
 * @param manifestYaml the manifest
 */
public record Submission(
    SubmissionId id, ConfigVersion baseVersion, String submitter, String manifestYaml) {}
