package org.mustardstage.core.quota;

import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.id.VmId;

/**
 * The right to run one attempt of a tenant's request.
 *
 * @param tenant the tenant
 * @param owner the VM that granted it
 * @param batch the batch at {@code owner} to which it belongs
 * @param expiresNanos until when the attempt may be sent
 */
public record QuotaPermit(TenantName tenant, VmId owner, long batch, long expiresNanos) {}
