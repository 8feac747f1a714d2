package org.cactusshift.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cactusshift.config.UpstreamConfig.Role;
import org.cactusshift.standin.StandInClient;
import org.cactusshift.standin.StandInResponse;

/** Executes the orders of an engine while the engine is out of service. */
final class OrderRunner implements AutoCloseable {
    private static final long MINIMUM_RETRY_DELAY_MILLIS = 100;

    private final EngineSettings settings;

    private final EngineOrders orders;

    private final StandInClient client = StandInClient.create();

    OrderRunner(EngineSettings settings, EngineOrders orders) {
        this.settings = settings;
        this.orders = orders;
    }

    /** Executes an accepted order and returns the engine to service. */
    void run(JsonNode order, EngineBatch batch) {
        boolean done;
        try {
            done = loadWeightsIfRequested(order, batch);
            TimeUnit.MILLISECONDS.sleep(settings.timing().orderMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        if (batch.isStopped()) {
            return;
        }
        Role role = EngineOrders.roleOf(order).orElse(batch.role());
        String version = order.path("version").asText(batch.version());
        batch.returnToService(done ? role : batch.role(), done ? version : batch.version());
        orders.end(order.path("order_id").asText(), done);
    }

    @Override
    public void close() {
        client.close();
    }

    private boolean loadWeightsIfRequested(JsonNode order, EngineBatch batch) throws InterruptedException {
        Optional<String> store = settings.weightStoreAddress();
        if (store.isEmpty() || !order.path("kind").asText().equals("load_version")) {
            return true;
        }
        String path =
                "/v1/weights/" + settings.model() + "/" + order.path("version").asText();
        while (!batch.isStopped()) {
            try {
                StandInClient.Response response = client.get(store.get(), path);
                if (response.status() != StandInResponse.TOO_MANY_REQUESTS) {
                    return response.status() == StandInResponse.OK;
                }
                long requestedMillis = TimeUnit.SECONDS.toMillis(response.retryAfterSeconds());
                TimeUnit.MILLISECONDS.sleep(Math.max(MINIMUM_RETRY_DELAY_MILLIS, requestedMillis));
            } catch (IOException e) {
                return false;
            }
        }
        return false;
    }
}
