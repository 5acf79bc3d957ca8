/**
 * The request path of an entry VM: accepts HTTP requests of callers, responds to lookups, and
 * forwards all other requests to endpoints.
 *
 * <p>Input is the callers' requests and the {@link org.mustardstage.entry.control.Snapshot} and
 * admission decisions of the control thread. Output is the responses to callers with their
 * outcomes, and the reported end of each permit use. Everything here runs on traffic threads. Start
 * reading at {@link TrafficServer} for the threads and at {@code CallerServlet} for the path of one
 * request.
 */
package org.mustardstage.entry.traffic;
