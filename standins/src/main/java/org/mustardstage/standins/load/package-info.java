/** The load tool: open-loop callers that look up entry VMs, retry, and check every answer. */
package org.mustardstage.standins.load;
