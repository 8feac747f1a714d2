package org.cactusshift.internal.coordination.claim;

import java.util.Optional;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/** Checks with a model checker that the table is linearizable. Public because the model checker creates instances. */
@Param(name = "key", gen = IntGen.class, conf = "1:2")
@Param(name = "attempt", gen = IntGen.class, conf = "1:2")
public class ClaimTableTest {
    private final ClaimTable table = ClaimTable.create();

    @Operation
    public ClaimTable.KeyStatus addIfFree(@Param(name = "key") int key, @Param(name = "attempt") int attempt) {
        return table.addIfFree(key(key), "body", attempt(attempt), 0).status();
    }

    @Operation
    public boolean confirm(@Param(name = "key") int key, @Param(name = "attempt") int attempt) {
        return table.confirm(key(key), attempt(attempt));
    }

    @Operation
    public Optional<ClaimTable.Phase> withdraw(@Param(name = "key") int key, @Param(name = "attempt") int attempt) {
        return table.withdraw(key(key), attempt(attempt));
    }

    @Operation
    public boolean remove(@Param(name = "key") int key, @Param(name = "attempt") int attempt) {
        return table.remove(key(key), attempt(attempt));
    }

    @Operation
    public boolean recordOutcome(@Param(name = "key") int key, @Param(name = "attempt") int attempt) {
        return table.recordOutcome(key(key), attempt(attempt), CallOutcome.UNKNOWN);
    }

    @Test
    void isLinearizable() {
        new ModelCheckingOptions()
                .threads(2)
                .actorsPerThread(3)
                .actorsBefore(1)
                .actorsAfter(1)
                .iterations(8)
                .invocationsPerIteration(200)
                .check(ClaimTableTest.class);
    }

    private static ClaimKey key(int number) {
        return new ClaimKey("key-" + number);
    }

    private static String attempt(int number) {
        return "attempt-" + number;
    }
}
