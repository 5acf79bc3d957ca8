package org.mustardstage.entry.control;

import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.SubmissionId;

/**
 * A manifest that an operator submits to become the active configuration.
 *
 * @param id identifies the submission; an id is never accepted twice
 * @param baseVersion the version on which the submitter based the manifest
 * @param submitter the name of the operator or tool that submits
 * @param manifestYaml the manifest as YAML
 */
public record Submission(
    SubmissionId id, ConfigVersion baseVersion, String submitter, String manifestYaml) {}
