/**
 * The spread of configuration versions to the entry VMs, and the checks of a new manifest against
 * the active one.
 *
 * <p>Heads of accepted manifests go in; requests to fetch, activate and announce them come out.
 * Start with {@link org.mustardstage.core.config.ConfigTracker}.
 */
package org.mustardstage.core.config;
