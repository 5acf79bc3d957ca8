package org.mustardstage.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Checks that the core stays free of I/O, threads, clocks and unseeded random numbers. Its
 * decisions could otherwise not be replayed in virtual time with a seed.
 */
class ArchitectureTest {
  private static final JavaClasses CORE =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.mustardstage.core");

  @Test
  void coreUsesNoInputOrOutput() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "java.io..")
        .check(CORE);
  }

  @Test
  void coreUsesNoThreads() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.lang.Thread")
        .orShould()
        .dependOnClassesThat()
        .resideInAPackage("java.util.concurrent..")
        .check(CORE);
  }

  @Test
  void coreReadsNoClock() {
    noClasses()
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.time.Clock")
        .check(CORE);
  }

  @Test
  void coreUsesNoUnseededRandomNumbers() {
    noClasses()
        .should()
        .callMethod(Math.class, "random")
        .orShould()
        .callConstructor(java.util.Random.class)
        .check(CORE);
  }
}
