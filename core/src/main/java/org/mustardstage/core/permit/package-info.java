/**
 * Enforces concurrency limits across all entry VMs by permits that exist exactly once and are
 * leased for a limited time.
 *
 * <p>Each permit has one owner, an entry VM of the zone of its limit. The owner grants the permit
 * to its own requests or leases it to another VM until a stated time. A lessee may transfer the
 * lease to another VM, for no longer than its own lease lasts, and then has no right to the permit.
 * The owners of a zone are stored in one row of the platform's store, which the VMs change by
 * conditional writes. One VM per limit, its allocator, collects idle permits and serves lease
 * requests.
 *
 * <p>Input are the limits of the active manifest, the members, the ownership lists, the requests of
 * this VM and the messages of other VMs. Output are the grants and rejections, the messages to send
 * and the rows to write. Start with {@link org.mustardstage.core.permit.PermitAgent}; {@link
 * org.mustardstage.core.permit.PermitGuards} holds the conditions that safety depends on.
 */
package org.mustardstage.core.permit;
