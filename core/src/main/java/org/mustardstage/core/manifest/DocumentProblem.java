package org.mustardstage.core.manifest;

/** A problem with the text or the structure of a YAML document. */
public sealed interface DocumentProblem extends ManifestProblem {
  /** The path of problems that concern the whole document. */
  String ROOT_PATH = "/";

  /** The text is longer than the maximum length of a document. */
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

  /** The text is not exactly one valid YAML document. */
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

  /** The text contains a YAML alias. Aliases are not accepted. */
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

  /** A key is not part of the schema. */
  record UnknownKey(String path, String key) implements DocumentProblem {
    @Override
    public String description() {
      return "expected only known keys, found " + key;
    }
  }

  /** A required key is missing. */
  record MissingKey(String path, String key) implements DocumentProblem {
    @Override
    public String description() {
      return "expected a value for " + key + ", found none";
    }
  }

  /** A value does not match the schema or its type. */
  record WrongValue(String path, String expected, String found) implements DocumentProblem {
    @Override
    public String description() {
      return "expected " + expected + ", found " + found;
    }
  }
}
