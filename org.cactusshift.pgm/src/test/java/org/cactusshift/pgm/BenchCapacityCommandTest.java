package org.cactusshift.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.cactusshift.config.Json;
import org.cactusshift.pgm.bench.NodeRole;
import org.junit.jupiter.api.Test;

class BenchCapacityCommandTest {
    private static final int MINIMUM_SIZES = 3;

    @Test
    void measuresEveryRoleAtThreeOrMoreSizes() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        Main main = Main.of(CommandRegistry.standard(), new Console(stream, stream));
        assertEquals(ExitStatus.SUCCESS, main.run(new String[] {"bench", "capacity", "--tiny", "--json"}));

        JsonNode slopes = Json.mapper().readTree(out.toByteArray()).get("slopes");
        Set<NodeRole> roles = StreamSupport.stream(slopes.spliterator(), false)
                .map(slope -> NodeRole.valueOf(slope.get("role").asText()))
                .collect(Collectors.toSet());
        assertEquals(EnumSet.allOf(NodeRole.class), roles);
        for (JsonNode slope : slopes) {
            Set<Double> sizes = StreamSupport.stream(slope.get("samples").spliterator(), false)
                    .map(sample -> sample.get("size").asDouble())
                    .collect(Collectors.toSet());
            assertTrue(sizes.size() >= MINIMUM_SIZES, slope::toString);
            assertTrue(slope.get("fit").get("residual").isNumber(), slope::toString);
        }
    }
}
