import java.io.PrintStream;
import java.nio.file.Path;

/** Runs one case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
final class Case {
  /** Plays a case; returns whether the rule was broken. */
  interface Play {
    boolean isBroken(Lab lab) throws Exception;
  }

  private Case() {}

  static void run(String[] args, Play play) {
    int exit;
    try (Lab lab = new Lab(Path.of(args[0]))) {
      exit = play.isBroken(lab) ? 1 : 0;
    } catch (Exception e) {
      e.printStackTrace(new PrintStream(System.err, true));
      exit = 2;
    }
    System.exit(exit);
  }
}
