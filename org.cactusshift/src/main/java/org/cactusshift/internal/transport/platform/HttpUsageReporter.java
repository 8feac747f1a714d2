package org.cactusshift.internal.transport.platform;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.usage.SealedWindow;
import org.cactusshift.internal.coordination.usage.UsageReporter;

/** Reports sealed usage windows to the platform's usage interface over HTTP. */
public final class HttpUsageReporter implements UsageReporter {
    private static final String STEP = "report usage window";
    private static final int STATUS_CONFLICT = 409;

    private final PlatformHttpClient client;
    private final String address;

    private HttpUsageReporter(PlatformHttpClient client, String address) {
        this.client = Objects.requireNonNull(client, "client");
        this.address = Objects.requireNonNull(address, "address");
    }

    /**
     * Creates a reporter.
     *
     * @param client makes the HTTP calls
     * @param address the usage interface, as {@code ADDRESS:PORT}
     * @return the reporter
     */
    public static HttpUsageReporter create(PlatformHttpClient client, String address) {
        return new HttpUsageReporter(client, address);
    }

    @Override
    public Either<Failure, Receipt> report(SealedWindow window) {
        byte[] bytes = window.report().getBytes(StandardCharsets.UTF_8);
        return client.post(STEP, address, "/v1/usage-windows/" + window.window(), bytes)
                .flatMap(this::toReceipt);
    }

    private Either<Failure, Receipt> toReceipt(PlatformResponse response) {
        if (response.isSuccess()) {
            return Either.right(Receipt.RECORDED);
        }
        if (response.status() == STATUS_CONFLICT) {
            return Either.right(Receipt.CONFLICT);
        }
        return Either.left(Failure.unknownEffect(STEP, address, "status " + response.status()));
    }
}
