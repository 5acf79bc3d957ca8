package org.mustardstage.standins.demo;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of a {@link Deployment}, controlled by signals. */
public final class ChildProcess {
  private static final long STOP_TIMEOUT_SECONDS = 15;

  private final String name;
  private final Process process;

  private ChildProcess(String name, Process process) {
    this.name = name;
    this.process = process;
  }

  /**
   * Starts {@code command} in {@code folder}, with its output in the file {@code <name>.log} of
   * {@code logFolder}.
   */
  static ChildProcess start(Path folder, Path logFolder, String name, List<String> command)
      throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().putIfAbsent("MUSTARDSTAGE_JAVA_OPTIONS", "-Xmx160m -Xss512k");
    builder.directory(folder.toFile());
    builder.redirectErrorStream(true);
    builder.redirectOutput(logFolder.resolve(name + ".log").toFile());
    return new ChildProcess(name, builder.start());
  }

  /** Returns the name that was given at the start; it is also the name of the log file. */
  public String name() {
    return name;
  }

  /** Returns whether the process is running. A paused process counts as running. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Sends SIGTERM to the process. */
  public void terminate() {
    process.destroy();
  }

  /** Sends SIGKILL to the process. */
  public void kill() {
    process.destroyForcibly();
  }

  /** Sends SIGSTOP to the process. */
  public void pause() throws IOException, InterruptedException {
    signal("-STOP");
  }

  /** Sends SIGCONT to the process. */
  public void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  /** Waits for the process to exit; returns its exit code, or -1 on a timeout. */
  public int awaitExit(long seconds) throws InterruptedException {
    return process.waitFor(seconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }

  /** Stops the process with SIGTERM, or with SIGKILL if it is still running after a timeout. */
  public void stop() throws InterruptedException {
    process.destroy();
    if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      process.destroyForcibly();
      process.waitFor();
    }
  }

  private void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
  }
}
