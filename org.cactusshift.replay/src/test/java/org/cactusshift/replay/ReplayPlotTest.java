package org.cactusshift.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.awt.image.BufferedImage;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import javax.imageio.ImageIO;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReplayPlotTest {
    @TempDir
    Path directory;

    @Test
    void writesOnePngPerChart() throws IOException {
        ReplayReport report = TraceReplayCommand.create()
                .setTrace(TraceGenerator.generate(SiteProfile.GH_SOUTH, Scenario.CRASHING_REQUEST, 5))
                .setPolicies(List.of("cactusshift", "round-robin"))
                .call()
                .get();
        List<Path> files = ReplayPlot.create(report).write(directory).get();
        assertEquals(4, files.size());
        for (Path file : files) {
            BufferedImage image = ImageIO.read(file.toFile());
            assertTrue(image.getWidth() > 0, file.toString());
        }
    }
}
