/**
 * Runs the model checker TLC on the TLA+ specifications of the core protocols.
 *
 * <p>Input are the specifications and configurations in {@code src/main/tla}. A test passes if TLC
 * explores the expected number of states without a violation, or, where it removes a guard or
 * breaks an assumption, if TLC finds the expected violation. Start with {@link
 * org.mustardstage.model.PermitsModelTest}.
 */
package org.mustardstage.model;
