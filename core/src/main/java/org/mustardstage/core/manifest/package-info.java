/**
 * The manifest: the configuration of services, endpoints, limits, moves and drains that operators
 * declare.
 *
 * <p>The types are immutable values; their constructors check single values, and {@link
 * org.mustardstage.core.manifest.check} checks a manifest as a whole. Start with {@link
 * org.mustardstage.core.manifest.Manifest}.
 */
package org.mustardstage.core.manifest;
