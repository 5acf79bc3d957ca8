/**
 * The customers that share a deployment: by which keys their requests are known, how urgent these
 * are and how many may run.
 */
package org.mustardstage.core.tenant;
