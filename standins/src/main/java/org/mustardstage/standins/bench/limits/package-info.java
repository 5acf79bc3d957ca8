/** Measures the permits against baselines in virtual time. */
package org.mustardstage.standins.bench.limits;
