package org.mustardstage.standins.demo;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process that the demo started. */
public final class ChildProcess {
  private static final long STOP_TIMEOUT_SECONDS = 15;

  private final String name;
  private final Process process;

  private ChildProcess(String name, Process process) {
    this.name = name;
    this.process = process;
  }

  /** Starts {@code command} in {@code folder}, with its output in a file of {@code logs}. */
  static ChildProcess start(Path folder, Path logs, String name, List<String> command) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().putIfAbsent("MUSTARDSTAGE_JAVA_OPTIONS", "-Xmx160m -Xss512k");
    builder.directory(folder.toFile());
    builder.redirectErrorStream(true);
    builder.redirectOutput(logs.resolve(name + ".log").toFile());
    return new ChildProcess(name, builder.start());
  }

  /** Returns the name that the demo gave it. */
  public String name() {
    return name;
  }

  /** Returns whether it runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Sends it SIGTERM. */
  public void terminate() {
    process.destroy();
  }

  /** Sends it SIGKILL. */
  public void kill() {
    process.destroyForcibly();
  }

  /** Sends it SIGSTOP. */
  public void pause() throws IOException, InterruptedException {
    signal("-STOP");
  }

  /** Sends it SIGCONT. */
  public void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  /** Waits for its end; returns its exit code, or -1 if it did not end in time. */
  public int awaitExit(long seconds) throws InterruptedException {
    return process.waitFor(seconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }

  /** Ends it, gently first. */
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
