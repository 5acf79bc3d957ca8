package org.mustardstage.core.manifest;

/** Something that is wrong with the text or the shape of a YAML document. */
public sealed interface DocumentProblem extends ManifestProblem {
  /** The path of problems that concern the whole document. */
  String ROOT_PATH = "/";

  /** The text is longer than a document may be. */
  record TooLong(long lengthChars, long maxLengthChars) implements DocumentProblem {
    @Override
    public String path() {
      return ROOT_PATH;
    }

    @Override
    public String description() {
      return "expected at most " + maxLengthChars + " characters, found " + lengthChars;
    }
  }

  /** The text is not one YAML document. */
  record NotYaml(int line, int column, String reason) implements DocumentProblem {
    @Override
    public String path() {
      return ROOT_PATH;
    }

    @Override
    public String description() {
      return "expected one YAML document, found at line "
          + line
          + ", column "
          + column
          + ": "
          + reason;
    }
  }

  /** The text uses a YAML alias, which is not accepted. */
  record AliasRefused(int line, int column) implements DocumentProblem {
    @Override
    public String path() {
      return ROOT_PATH;
    }

    @Override
    public String description() {
      return "expected plain values, found an alias at line " + line + ", column " + column;
    }
  }

  /** A key is not known. */
  record UnknownKey(String path, String key) implements DocumentProblem {
    @Override
    public String description() {
      return "expected only known keys, found " + key;
    }
  }

  /** A key is missing. */
  record MissingKey(String path, String key) implements DocumentProblem {
    @Override
    public String description() {
      return "expected a value for " + key + ", found none";
    }
  }

  /** A value is not what the schema or its type asks for. */
  record WrongValue(String path, String expected, String found) implements DocumentProblem {
    @Override
    public String description() {
      return "expected " + expected + ", found " + found;
    }
  }
}
