/**
 * Checks of what arrives on connections of the HTTP library's client, which accepts more than RFC
 * 9112 allows.
 */
package org.mustardstage.entry.http;
