/**
 * Measures the policies of the core against simple baselines in virtual time: entry VMs, endpoints
 * with slots and callers that retry, driven by one queue of events and one seed.
 */
package org.mustardstage.standins.bench.policies;
