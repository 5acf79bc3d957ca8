/**
 * Stateful fuzzing of the decision logic: random sequences of steps run against oracles that only
 * count. Start with {@code Fuzzer}; {@code SoakTest} runs all scenarios with other seeds.
 */
package org.mustardstage.core.fuzz;
