/**
 * Keeps every quantity limit by permits that exist exactly once and are leased for a time.
 *
 * <p>Each permit has one owner, an entry VM of the zone of its limit. The owner uses the permit or
 * leases it until a stated time. A lessee may sublease it for no longer; it then has no right left.
 */
package org.mustardstage.core.permit;
