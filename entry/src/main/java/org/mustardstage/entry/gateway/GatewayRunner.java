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

/** Runs a process until it is told to stop, and reads its settings anew when told to. */
public final class GatewayRunner {
  private static final int EXIT_CANT_START = 4;

  private final Path settingsFile;
  private GatewaySettings settings;

  private GatewayRunner(GatewaySettings settings, Path settingsFile) {
    this.settings = settings;
    this.settingsFile = settingsFile;
  }

  /** Starts the process; returns an exit code other than 0 if it can't run. */
  public static int run(GatewaySettings settings, PlatformAdapter deployment, Path settingsFile) {
    LogSetup.configureNonBlocking(settings.logLevel());
    GatewayProcess process = new GatewayProcess(settings, deployment, System.currentTimeMillis());
    GatewayRunner runner = new GatewayRunner(settings, settingsFile);
    ProcessSignals.onReload(runner::reload);
    try {
      process.start();
    } catch (IOException e) {
      EventLog.log(Event.START_FAILED, e, "why", e.getMessage());
      return EXIT_CANT_START;
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

  /** Takes over what may change while the process runs; the rest takes effect at its next start. */
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
