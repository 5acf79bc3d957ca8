/**
 * The command-line tool for operators and the build pipeline. {@link org.mustardstage.cli.CliMain}
 * parses the command line and runs one of the commands, which call the operator API of an entry VM.
 */
package org.mustardstage.cli;
