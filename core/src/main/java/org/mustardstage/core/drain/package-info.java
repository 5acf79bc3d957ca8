/** What leaves and gets no new work. */
package org.mustardstage.core.drain;
