package org.mustardstage.entry.gateway;

/**
 * The header names that callers and endpoints of a platform use.
 *
 * @param requestId names a request; endpoints echo it
 * @param deadlineMillis how long the sender waits, in milliseconds
 * @param expectedEndpoint the id of the only endpoint that may run the request
 * @param endpointSeal the endpoint's proof that an answer is its own
 * @param notExecuted says that the endpoint did not run the request
 * @param load the endpoint's running requests, waiting requests and slots
 * @param objectCookie the cookie that names the object that a request is about
 */
public record HeaderNames(
    String requestId,
    String deadlineMillis,
    String expectedEndpoint,
    String endpointSeal,
    String notExecuted,
    String load,
    String affinityCookie) {}
