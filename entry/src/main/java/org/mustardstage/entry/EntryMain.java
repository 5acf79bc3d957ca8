package org.mustardstage.entry;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.mustardstage.core.manifest.DocumentProblem;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;
import org.mustardstage.entry.log.LogSetup;
import org.mustardstage.entry.settings.ProcessSettings;
import org.mustardstage.entry.settings.SettingsOverrides;

/** Runs the process of an entry VM. */
@Command(name = "mustardstage-entry", description = "Runs the process of an entry VM.")
public final class EntryMain {
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_BAD_SETTINGS = 3;
  private static final int EXIT_CANT_START = 4;

  @Option(name = "--settings", description = "YAML file with the settings.")
  @Required
  private String settingsFile;

  @Option(name = "--set", description = "Overrides a setting, as name=value. May be repeated.")
  private List<String> overrides = new ArrayList<>();

  @Option(name = "--check-settings", description = "Checks the settings and exits.")
  private boolean checkSettings;

  /** Creates the command. The command-line parser sets its fields. */
  public EntryMain() {}

  /** Runs the process until it is terminated by a signal. */
  public static void main(String[] args) {
    int exitCode;
    try {
      exitCode = SingleCommand.singleCommand(EntryMain.class).parse(args).run();
    } catch (ParseException e) {
      System.err.println("mustardstage-entry: " + e.getMessage());
      exitCode = EXIT_USAGE;
    }
    if (exitCode != 0) {
      System.exit(exitCode);
    }
  }

  private int run() {
    String yaml;
    try {
      yaml = SettingsOverrides.apply(Files.readString(Path.of(settingsFile)), overrides);
    } catch (IOException | IllegalArgumentException e) {
      System.err.println("mustardstage-entry: " + settingsFile + ": " + e.getMessage());
      return EXIT_USAGE;
    }
    Either<List<DocumentProblem>, ProcessSettings> settings = ProcessSettings.read(yaml);
    if (settings.isLeft()) {
      settings.getLeft().forEach(EntryMain::print);
      return EXIT_BAD_SETTINGS;
    }
    if (checkSettings) {
      System.out.println("settings are valid");
      return 0;
    }
    return start(settings.get());
  }

  private static void print(DocumentProblem problem) {
    System.err.println(problem.path() + ": " + problem.description());
  }

  private static int start(ProcessSettings settings) {
    LogSetup.configure(settings.jsonLogs(), settings.logLevel());
    EntryProcess process = new EntryProcess(settings, System.currentTimeMillis());
    try {
      process.start();
    } catch (IOException e) {
      EventLog.log(Event.START_FAILED, e, "why", e.getMessage());
      return EXIT_CANT_START;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(process::stop, "stop"));
    return 0;
  }
}
