package org.mustardstage.model;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.MalformedURLException;
import java.net.URI;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Runs the model checker TLC inside this process. TLC keeps state in static fields. A run that
 * checks liveness therefore loads TLC in a class loader of its own. All other runs of a
 * specification share one, and their tests check that the number of states stays as expected.
 */
final class Tlc {
  private static final Path SPECIFICATION_DIRECTORY = Path.of("src", "main", "tla");
  private static final int WORKERS = 1;

  /** The fingerprint function that TLC uses; without it, TLC selects one at random for each run. */
  private static final int FINGERPRINT_INDEX = 20;

  private static final long SEED = -8_299_162_601_190_443_395L;
  private static final Map<String, ClassLoader> LOADERS = new HashMap<>();

  private Tlc() {}

  /** Returns the result of checking {@code specification} with {@code configuration}. */
  static TlcResult check(String specification, String configuration) {
    return check(specification, configuration, text -> text);
  }

  /** Returns the result of checking only {@code property}, with one constant replaced. */
  static TlcResult checkWithConstant(
      String specification, String configuration, Constant constant, String property) {
    return check(
        specification,
        configuration,
        text ->
            replaceLine(
                replaceLine(
                    text,
                    "  " + constant.name() + " = .*",
                    "  " + constant.name() + " = " + constant.value()),
                "(INVARIANTS|PROPERTY) .*",
                "$1 " + property));
  }

  /** A constant of a specification and its value. */
  record Constant(String name, String value) {}

  private static synchronized TlcResult check(
      String specification, String configuration, UnaryOperator<String> edit) {
    try {
      Path directory = Files.createTempDirectory(Path.of("target"), "tlc-").toAbsolutePath();
      String module = specification + ".tla";
      Files.copy(SPECIFICATION_DIRECTORY.resolve(module), directory.resolve(module));
      String config = configuration + ".cfg";
      String text = edit.apply(Files.readString(SPECIFICATION_DIRECTORY.resolve(config)));
      Files.writeString(directory.resolve(config), text);
      return run(directory, module, config);
    } catch (IOException | ReflectiveOperationException e) {
      throw new LinkageError("could not run TLC on " + specification + " with " + configuration, e);
    }
  }

  private static String replaceLine(String text, String pattern, String replacement) {
    Matcher line = Pattern.compile("(?m)^" + pattern + "$").matcher(text);
    if (!line.find()) {
      throw new IllegalArgumentException("TLC configuration has no line that matches " + pattern);
    }
    return line.replaceFirst(replacement);
  }

  private static TlcResult run(Path directory, String module, String config)
      throws IOException, ReflectiveOperationException {
    String[] arguments = {
      "-workers",
      Integer.toString(WORKERS),
      "-fp",
      Integer.toString(FINGERPRINT_INDEX),
      "-seed",
      Long.toString(SEED),
      "-metadir",
      directory.toString(),
      "-config",
      config,
      directory.resolve(module).toString()
    };
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    String text = Files.readString(directory.resolve(config));
    ClassLoader loader =
        text.contains("PROPERTY")
            ? createLoader()
            : LOADERS.computeIfAbsent(module, key -> createLoader());
    try (PrintStream capture = new PrintStream(bytes, true, StandardCharsets.UTF_8)) {
      Class<?> toolIo = loader.loadClass("util.ToolIO");
      toolIo.getField("out").set(null, capture);
      toolIo.getField("err").set(null, capture);
      Class<?> tlcClass = loader.loadClass("tlc2.TLC");
      Object tlc = tlcClass.getConstructor().newInstance();
      boolean accepted =
          (boolean)
              tlcClass
                  .getMethod("handleParameters", String[].class)
                  .invoke(tlc, (Object) arguments);
      int exitCode = accepted ? (int) tlcClass.getMethod("process").invoke(tlc) : -1;
      return new TlcResult(exitCode, text, bytes.toString(StandardCharsets.UTF_8));
    }
  }

  private static ClassLoader createLoader() {
    String tlc = Tlc.class.getResource("/tlc2/TLC.class").toString();
    String jar = tlc.replaceFirst("^jar:", "").replaceFirst("!.*$", "");
    try {
      URL[] urls = {URI.create(jar).toURL()};
      return new URLClassLoader(urls, ClassLoader.getPlatformClassLoader());
    } catch (MalformedURLException e) {
      throw new LinkageError("TLC must be in a jar file, but its location is " + jar, e);
    }
  }
}
