/**
 * Selection of endpoints for a request at one entry VM, with the limits that apply to regions and
 * to the network between them.
 *
 * <p>The endpoints of the active manifest, their load reports and the results of attempts go in; a
 * ranked list of candidate endpoints comes out. Start with {@link
 * org.mustardstage.core.route.EndpointRouter}.
 */
package org.mustardstage.core.route;
