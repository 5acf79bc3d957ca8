/**
 * Draining of endpoints and entry VMs: which of them get no new work, how far their drains are, and
 * whether a manifest's drains leave enough capacity.
 *
 * <p>The active manifest, the VM list and the reports of endpoints go in; a {@link
 * org.mustardstage.core.drain.DrainPlan} and the state of each draining endpoint come out. Start
 * with {@code DrainPlan}.
 */
package org.mustardstage.core.drain;
