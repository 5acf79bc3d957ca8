package org.mustardstage.entry.gateway;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.mustardstage.core.manifest.DocumentProblem;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;
import org.mustardstage.entry.log.LogSetup;

/** Runs a gateway process until the JVM shuts down, and reloads its settings on a signal. */
public final class GatewayRunner {
  private static final int EXIT_START_FAILED = 4;

  private final Path settingsFile;
  private GatewaySettings settings;

  private GatewayRunner(GatewaySettings settings, Path settingsFile) {
    this.settings = settings;
    this.settingsFile = settingsFile;
  }

  /** Starts the process; returns a non-zero exit code if it can't start. */
  public static int run(GatewaySettings settings, PlatformAdapter adapter, Path settingsFile) {
    LogSetup.configureNonBlocking(settings.logLevel());
    GatewayProcess process = new GatewayProcess(settings, adapter, System.currentTimeMillis());
    GatewayRunner runner = new GatewayRunner(settings, settingsFile);
    ProcessSignals.setReloadHandler(runner::reload);
    try {
      process.start();
    } catch (IOException e) {
      EventLog.log(Event.START_FAILED, e, "why", e.getMessage());
      return EXIT_START_FAILED;
    }
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  process.stop();
                  LogSetup.flush();
                },
                "stop"));
    return 0;
  }

  /**
   * Reads the settings again. Only the log level is applied while the process runs; the rest takes
   * effect at the next start.
   */
  private void reload() {
    try {
      Either<List<DocumentProblem>, GatewaySettings> read =
          GatewaySettingsReader.read(Files.readString(settingsFile));
      if (read.isLeft()) {
        EventLog.log(Event.SETTINGS_RELOADED, "refused", read.getLeft());
        return;
      }
      boolean changed = !read.get().equals(settings);
      settings = read.get();
      LogSetup.setLevel(settings.logLevel());
      EventLog.log(Event.SETTINGS_RELOADED, "changed", changed);
    } catch (IOException e) {
      EventLog.log(Event.SETTINGS_RELOADED, e, "refused", e.getMessage());
    }
  }
}
