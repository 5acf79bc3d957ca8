package org.mustardstage.core.quota;

import java.util.OptionalDouble;
import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.id.VmId;

/**
 * What this VM knows of a tenant's quota, for operators.
 *
 * @param tenant the tenant
 * @param owner the VM that this VM asks for permits
 * @param ownedShare the part of the quota that this VM hands out, 0 to 1
 * @param left the permits left to hand out; empty if this VM hands out none
 * @param handedOut the permits handed out that may still be used
 * @param held the unused permits that this VM holds
 * @param waiting the requests on this VM that wait for a permit
 * @param granted the requests on this VM that got a permit since its start
 * @param exhausted the requests on this VM that were refused as the quota was used up
 * @param unknown the requests on this VM that were refused as no owner answered
 */
public record QuotaStatus(
    TenantName tenant,
    VmId owner,
    double ownedShare,
    OptionalDouble left,
    int handedOut,
    int held,
    int waiting,
    long granted,
    long exhausted,
    long unknown) {}
