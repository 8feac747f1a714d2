package org.cactusshift.internal.transport.platform;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.usage.SealedWindow;
import org.cactusshift.internal.coordination.usage.UsageReporter;

/** Sends sealed windows over HTTP. */
public final class HttpUsageReporter implements UsageReporter {
    private static final String STEP = "report usage window";
    private static final int STATUS_CONFLICT = 409;

    private final PlatformHttpClient calls;
    private final String address;

    private HttpUsageReporter(PlatformHttpClient calls, String address) {
        this.calls = Objects.requireNonNull(calls, "calls");
        this.address = Objects.requireNonNull(address, "address");
    }

    /**
     * Returns a reporter.
     *
     * @param calls makes the calls
     * @param address the usage interface, as {@code ADDRESS:PORT}
     * @return the reporter
     */
    public static HttpUsageReporter create(PlatformHttpClient calls, String address) {
        return new HttpUsageReporter(calls, address);
    }

    @Override
    public Either<Failure, Receipt> report(SealedWindow window) {
        byte[] bytes = window.report().getBytes(StandardCharsets.UTF_8);
        return calls.post(STEP, address, "/v1/usage-windows/" + window.window(), bytes)
                .flatMap(this::receipt);
    }

    private Either<Failure, Receipt> receipt(PlatformResponse answer) {
        if (answer.isSuccess()) {
            return Either.right(Receipt.RECORDED);
        }
        if (answer.status() == STATUS_CONFLICT) {
            return Either.right(Receipt.CONFLICT);
        }
        return Either.left(Failure.unknownEffect(STEP, address, "status " + answer.status()));
    }
}
