/**
 * Decides for each attempt of a tenant's request whether it may run, so that all VMs together stay
 * within the tenant's quota, also while they are cut off from each other.
 *
 * <p>Takes requests, the tenants, the view of the VMs and messages of other VMs; returns decisions
 * and messages. Start with {@link org.mustardstage.core.quota.TenantQuotas}. Free of I/O and
 * threads, so that the same classes run in tests and in the entry VM.
 */
package org.mustardstage.core.quota;
