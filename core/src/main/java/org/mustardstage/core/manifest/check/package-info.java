/**
 * The checks that a manifest must pass before it may be activated, one class for each.
 *
 * <p>A manifest goes in; the list of its problems comes out. Start with {@link
 * org.mustardstage.core.manifest.check.ManifestChecker}.
 */
package org.mustardstage.core.manifest.check;
