/** The command for operators and the build pipeline. */
package org.mustardstage.cli;
