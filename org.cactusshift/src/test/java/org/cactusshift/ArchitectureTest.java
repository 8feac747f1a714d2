package org.cactusshift;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.stream.Stream;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.cactusshift.internal.coordination.routing.planted.PlantedViolations;
import org.cactusshift.internal.state.planted.UpwardState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class ArchitectureTest {
    private static final JavaClasses MAIN_CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.cactusshift");

    static Stream<ArchRule> rules() {
        return Stream.of(
                ArchitectureRules.layersDependOnlyOnLowerLayers(),
                ArchitectureRules.publicPackagesUseNothingInternal(),
                ArchitectureRules.decisionLogicReadsNoClock(),
                ArchitectureRules.decisionLogicDoesNoIo(),
                ArchitectureRules.decisionLogicStartsNoThread());
    }

    @ParameterizedTest
    @MethodSource("rules")
    void mainClassesFollowRule(ArchRule rule) {
        rule.check(MAIN_CLASSES);
    }

    static Stream<Arguments> violations() {
        return Stream.of(
                Arguments.of(ArchitectureRules.layersDependOnlyOnLowerLayers(), UpwardState.class),
                Arguments.of(ArchitectureRules.decisionLogicReadsNoClock(), PlantedViolations.ReadsClock.class),
                Arguments.of(ArchitectureRules.decisionLogicReadsNoClock(), PlantedViolations.ReadsWallClock.class),
                Arguments.of(ArchitectureRules.decisionLogicDoesNoIo(), PlantedViolations.OpensSocket.class),
                Arguments.of(ArchitectureRules.decisionLogicStartsNoThread(), PlantedViolations.StartsThread.class),
                Arguments.of(ArchitectureRules.decisionLogicStartsNoThread(), PlantedViolations.StartsPool.class),
                Arguments.of(
                        ArchitectureRules.decisionLogicStartsNoThread(), PlantedViolations.RunsAsynchronously.class));
    }

    @ParameterizedTest
    @MethodSource("violations")
    void deliberateViolationIsDetected(ArchRule rule, Class<?> violating) {
        // The layer rule considers only dependencies between imported classes; UpwardState depends on VersionedConfig.
        JavaClasses classes = new ClassFileImporter().importClasses(violating, VersionedConfig.class);

        assertTrue(rule.evaluate(classes).hasViolation());
    }

    /** Checks some of the packages with decision logic: a rule over a package without classes would always pass. */
    @ParameterizedTest
    @ValueSource(strings = {"dispatch", "routing", "lease", "claim", "usage", "key", "membership", "configsync"})
    void decisionLogicPackageHasClasses(String name) {
        String packageName = "org.cactusshift.internal.coordination." + name;
        boolean found = MAIN_CLASSES.stream()
                .anyMatch(type -> type.getPackageName().equals(packageName)
                        && !type.getSimpleName().equals("package-info"));
        assertTrue(found, packageName);
    }
}
