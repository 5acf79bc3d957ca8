/**
 * The request path: callers' HTTP requests come in, are answered as look-ups or carried to
 * endpoints, and their outcomes go back. Everything here runs on traffic threads.
 */
package org.mustardstage.entry.traffic;
