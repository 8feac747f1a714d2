package org.cactusshift;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.core.domain.JavaCall.Predicates.target;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.AccessTarget.CodeUnitCallTarget;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.lang.ArchRule;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** The architecture rules of the library. */
final class ArchitectureRules {
    /**
     * The packages of the decision logic. No class in them reads a clock; classes other than drivers do no I/O and
     * start no threads.
     */
    static final String[] DECISION_LOGIC_PACKAGES = {
        "org.cactusshift.internal.coordination.dispatch..",
        "org.cactusshift.internal.coordination.routing..",
        "org.cactusshift.internal.coordination.fairness..",
        "org.cactusshift.internal.coordination.limits..",
        "org.cactusshift.internal.coordination.retry..",
        "org.cactusshift.internal.coordination.quarantine..",
        "org.cactusshift.internal.coordination.roles..",
        "org.cactusshift.internal.coordination.capacity..",
        "org.cactusshift.internal.coordination.lease..",
        "org.cactusshift.internal.coordination.serving..",
        "org.cactusshift.internal.coordination.claim..",
        "org.cactusshift.internal.coordination.usage..",
        "org.cactusshift.internal.coordination.key..",
        "org.cactusshift.internal.coordination.membership..",
        "org.cactusshift.internal.state.summary..",
        "org.cactusshift.internal.coordination.configsync..",
    };

    /**
     * The endings of the class names by which drivers are recognized; they wait or send on behalf of the decision logic
     * in the same package.
     */
    private static final Set<String> DRIVER_SUFFIXES =
            Set.of("Service", "Driver", "Distributor", "Repository", "Follower");

    private static final Set<String> CLOCK_METHODS = Set.of(
            "java.lang.System.nanoTime",
            "java.lang.System.currentTimeMillis",
            "java.time.Instant.now",
            "java.time.LocalDate.now",
            "java.time.LocalDateTime.now",
            "java.time.ZonedDateTime.now",
            "java.time.Clock.systemUTC",
            "java.time.Clock.systemDefaultZone",
            "java.time.Clock.millis",
            "java.time.Clock.instant");

    private ArchitectureRules() {}

    static ArchRule layersDependOnlyOnLowerLayers() {
        return layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .withOptionalLayers(true)
                .layer("transport")
                .definedBy("org.cactusshift.internal.transport..")
                .layer("protocol")
                .definedBy("org.cactusshift.internal.protocol..")
                .layer("coordination")
                .definedBy("org.cactusshift.internal.coordination..")
                .layer("state")
                .definedBy("org.cactusshift.internal.state..")
                .whereLayer("transport")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("protocol")
                .mayOnlyBeAccessedByLayers("transport")
                .whereLayer("coordination")
                .mayOnlyBeAccessedByLayers("transport", "protocol")
                .whereLayer("state")
                .mayOnlyBeAccessedByLayers("transport", "protocol", "coordination");
    }

    static ArchRule publicPackagesUseNothingInternal() {
        return noClasses()
                .that()
                .resideInAnyPackage("org.cactusshift.id..", "org.cactusshift.errors..", "org.cactusshift.config..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.cactusshift.internal..");
    }

    static ArchRule decisionLogicReadsNoClock() {
        return noClasses()
                .that()
                .resideInAnyPackage(DECISION_LOGIC_PACKAGES)
                .should()
                .callMethodWhere(target(describe("reads a clock", ArchitectureRules::readsClock)));
    }

    static ArchRule decisionLogicDoesNoIo() {
        return noClasses()
                .that(areDecisionLogic())
                .should()
                .dependOnClassesThat(resideInAnyPackage(
                        "java.net..",
                        "java.nio.file..",
                        "java.nio.channels..",
                        "org.apache.hc..",
                        "io.grpc..",
                        "io.netty.."));
    }

    static ArchRule decisionLogicStartsNoThread() {
        return noClasses()
                .that(areDecisionLogic())
                .should()
                .dependOnClassesThat(
                        describe("start threads or run tasks on them", ArchitectureRules::startsThreadsOrRunsTasks))
                .orShould()
                .callMethodWhere(
                        target(describe("blocks or runs asynchronously", ArchitectureRules::blocksOrRunsAsync)));
    }

    private static DescribedPredicate<JavaClass> areDecisionLogic() {
        return resideInAnyPackage(DECISION_LOGIC_PACKAGES).and(describe("are not drivers", type -> !isDriver(type)));
    }

    private static boolean isDriver(JavaClass type) {
        JavaClass outermost = type;
        while (outermost.getEnclosingClass().isPresent()) {
            outermost = outermost.getEnclosingClass().get();
        }
        return DRIVER_SUFFIXES.stream().anyMatch(outermost.getSimpleName()::endsWith);
    }

    private static boolean readsClock(CodeUnitCallTarget target) {
        return CLOCK_METHODS.contains(target.getOwner().getName() + "." + target.getName());
    }

    private static boolean startsThreadsOrRunsTasks(JavaClass type) {
        return type.isAssignableTo(Thread.class)
                || type.isAssignableTo(Executor.class)
                || type.isEquivalentTo(Executors.class);
    }

    /** A future completed by its owner starts no thread and is permitted; asynchronous stages and waiting are not. */
    private static boolean blocksOrRunsAsync(CodeUnitCallTarget target) {
        String name = target.getName();
        if (target.getOwner().isAssignableTo(Future.class)) {
            return name.endsWith("Async") || name.equals("get") || name.equals("join");
        }
        return target.getOwner().isEquivalentTo(Object.class) && name.equals("wait");
    }
}
