/** Choice of a place and an endpoint for a request. */
package org.mustardstage.core.route;
