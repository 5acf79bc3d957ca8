/**
 * Reads, validates and writes manifests, settings and messages by the JSON schemas of this module.
 * Start with {@link org.mustardstage.schema.ManifestReader}, {@link
 * org.mustardstage.schema.SettingsReader} and {@link org.mustardstage.schema.JsonMessages}. {@link
 * org.mustardstage.schema.ManifestParts} splits a manifest for distribution, and {@link
 * org.mustardstage.schema.ManifestAssembler} puts it together again.
 */
package org.mustardstage.schema;
