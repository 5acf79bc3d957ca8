/** Runs the model checker TLC on the specifications of the core protocols. */
package org.mustardstage.model;
