package org.mustardstage.entry.gateway;

import java.util.Optional;
import org.mustardstage.core.transfer.TransferBudget;

/**
 * A request as it is sent over one connection.
 *
 * @param id the request id, by which the response is known
 * @param withoutResponseBody whether the response has no body whatever its headers say
 * @param transfer the room for the response, if it is streamed
 * @param bytes the encoded request; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
record OutgoingRequest(
    String id,
    boolean withoutResponseBody,
    Optional<TransferBudget<String>.Transfer> transfer,
    byte[] bytes) {}
