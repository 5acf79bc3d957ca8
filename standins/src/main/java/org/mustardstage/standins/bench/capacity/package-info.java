/** Measures what control costs at the size of the target. */
package org.mustardstage.standins.bench.capacity;
