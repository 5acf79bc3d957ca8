/**
 * HTTP/1.x responses as RFC 9110 and RFC 9112 define them: which bytes are one, and how much a peer
 * may send.
 *
 * <p>Start with {@link org.mustardstage.core.http.ResponseParser}. Every connection on which this
 * project reads responses uses it.
 */
package org.mustardstage.core.http;
