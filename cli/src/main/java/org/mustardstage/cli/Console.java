package org.mustardstage.cli;

import java.io.PrintStream;

/**
 * Where the command writes.
 *
 * @param out for results
 * @param err for what went wrong
 */
record Console(PrintStream out, PrintStream err) {}
