/** How callers that compete for the slots of a service share them. */
package org.mustardstage.core.fairness;
