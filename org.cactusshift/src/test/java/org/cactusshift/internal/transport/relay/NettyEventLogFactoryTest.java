package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class NettyEventLogFactoryTest {
    private final InternalLoggerFactory before = InternalLoggerFactory.getDefaultFactory();
    private final List<String> lines = new ArrayList<>();
    private InternalLogger logger;

    @BeforeEach
    void install() {
        NettyEventLogFactory.install((String event, Map<String, Object> fields) -> lines.add(event + " " + fields));
        logger = InternalLoggerFactory.getInstance("io.netty.Some");
    }

    @AfterEach
    void restore() {
        InternalLoggerFactory.setDefaultFactory(before);
    }

    @Test
    void warningsAndErrorsAreWrittenWithTheirCause() {
        logger.warn("cannot set {} to {}", "a", 1);
        logger.warn("failed: {}", "b", new IllegalStateException("reason"));
        logger.error("broken", new IllegalStateException("reason"));
        assertEquals(
                List.of(
                        "netty.warning {logger=io.netty.Some, message=cannot set a to 1}",
                        "netty.warning {cause=java.lang.IllegalStateException: reason, logger=io.netty.Some,"
                                + " message=failed: b}",
                        "netty.error {cause=java.lang.IllegalStateException: reason, logger=io.netty.Some,"
                                + " message=broken}"),
                lines);
    }

    @Test
    void otherLevelsAreLeftOut() {
        logger.info("started");
        logger.debug("options: {}", "x");
        assertEquals(List.of(), lines);
        assertFalse(logger.isInfoEnabled());
    }
}
