/** Shared parts of the stand-ins: HTTP server, JSON responses, header names and input files. */
package org.mustardstage.standins.http;
