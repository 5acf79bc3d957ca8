package org.mustardstage.entry.gateway;

import io.activej.http.HttpMethod;
import java.util.Optional;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.id.ServiceName;

/**
 * A request of a caller, read whole.
 *
 * @param id the caller's id for it
 * @param rule the rule that it comes under
 * @param service the service that it goes to
 * @param object what it is about, if the rule keeps objects together
 * @param method the method
 * @param pathAndQuery the target as the caller wrote it
 * @param headers the headers that are passed on
 * @param body the whole body, not to be changed
 * @param arrivedNanos when it arrived
 * @param deadlineNanos when the caller stops waiting, or the rule's timeout
 */
@SuppressWarnings("ArrayRecordComponent")
record CallerRequest(
    String id,
    RoutingRule rule,
    ServiceName service,
    Optional<String> object,
    HttpMethod method,
    String pathAndQuery,
    HeaderList headers,
    byte[] body,
    long arrivedNanos,
    long deadlineNanos) {}
