/**
 * The load tool: sends an open-loop load as many callers that look up entry VMs, retry, and check
 * that every response is complete and their own. It reads a manifest and a load plan and writes a
 * summary of the outcomes. Start with {@link org.mustardstage.standins.load.LoadMain}.
 */
package org.mustardstage.standins.load;
