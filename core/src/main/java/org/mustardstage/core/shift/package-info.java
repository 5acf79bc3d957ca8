/** Planned moves of traffic that never exceed their cap. */
package org.mustardstage.core.shift;
