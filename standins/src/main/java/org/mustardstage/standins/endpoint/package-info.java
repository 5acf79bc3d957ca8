/**
 * The stand-in of an endpoint: runs requests in a limited number of slots with random service
 * times, reports its load, injects faults, and records every run for later checks. Start with
 * {@link org.mustardstage.standins.endpoint.EndpointMain}.
 */
package org.mustardstage.standins.endpoint;
