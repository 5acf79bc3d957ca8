/** Stateful fuzzing of the decisions against oracles that only count. */
package org.mustardstage.core.fuzz;
