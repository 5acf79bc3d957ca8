/**
 * Reads the YAML settings of an entry VM process and applies command-line overrides to them.
 *
 * <p>Start with {@link org.mustardstage.entry.settings.ProcessSettings}.
 */
package org.mustardstage.entry.settings;
