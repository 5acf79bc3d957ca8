/**
 * Planned moves of traffic from one region to another, in steps and up to a cap.
 *
 * <p>The planned move of the manifest, its state and a report of the receiving region go in; a
 * {@link org.mustardstage.core.shift.MoveDecision} comes out of {@link
 * org.mustardstage.core.shift.MoveStepPolicy}, where to start. {@link
 * org.mustardstage.core.shift.MoveShareLimiter} applies the share to single requests.
 */
package org.mustardstage.core.shift;
