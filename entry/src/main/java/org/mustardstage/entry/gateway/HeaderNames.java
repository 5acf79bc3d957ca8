package org.mustardstage.entry.gateway;

/**
 * The header names that callers and endpoints of a platform use.
 *
 * @param requestId the id of a request, which endpoints echo in the response
 * @param deadlineMillis how long the sender waits for the response, in milliseconds
 * @param expectedEndpoint the id of the only endpoint that may run the request
 * @param endpointId the id of the endpoint that responds to a health check
 * @param endpointSeal the endpoint's proof that it produced the response
 * @param notExecuted present if the endpoint did not run the request
 * @param load the endpoint's running requests, queued requests and slots
 * @param coldMillis how much longer the endpoint stays cold, in milliseconds, in its responses to
 *     health checks
 * @param leaving present in the responses of an endpoint that is about to stop
 * @param requestLimit the requests per second that the endpoint takes from all VMs together
 * @param apiKey the API key of a caller, which endpoints never receive
 * @param tenant the name of the tenant that holds the key, as endpoints receive it
 * @param affinityCookie the cookie that holds the affinity key of a request (not a header)
 */
public record HeaderNames(
    String requestId,
    String deadlineMillis,
    String expectedEndpoint,
    String endpointId,
    String endpointSeal,
    String notExecuted,
    String load,
    String coldMillis,
    String leaving,
    String requestLimit,
    String apiKey,
    String tenant,
    String affinityCookie) {}
