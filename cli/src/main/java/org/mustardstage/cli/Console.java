package org.mustardstage.cli;

import java.io.PrintStream;

/**
 * The output streams of a command.
 *
 * @param out receives results
 * @param err receives errors
 */
record Console(PrintStream out, PrintStream err) {}
