/**
 * Large responses in transfer through one entry VM: which may begin, and how much of each is held.
 *
 * <p>Start with {@link org.mustardstage.core.transfer.TransferBudget}.
 */
package org.mustardstage.core.transfer;
