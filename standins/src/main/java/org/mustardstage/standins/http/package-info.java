/** What the stand-ins share: a process around an HTTP server, JSON bodies, names of headers. */
package org.mustardstage.standins.http;
