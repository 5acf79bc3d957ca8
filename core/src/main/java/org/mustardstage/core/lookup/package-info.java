/**
 * The lookup of entry VMs for callers.
 *
 * <p>The caller blocks of the active configuration and the live members go in; for a caller's
 * address, a short list of entry VMs comes out. Start with {@link
 * org.mustardstage.core.lookup.LookupTable}.
 */
package org.mustardstage.core.lookup;
