package org.cactusshift.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cactusshift.config.UpstreamConfig.Role;
import org.cactusshift.standin.StandInClient;
import org.cactusshift.standin.StandInResponse;

/** Executes the orders of an engine while the engine is out of service. */
final class EngineOrderRunner implements AutoCloseable {
    private static final long MINIMUM_RETRY_DELAY_MILLIS = 100;

    private final EngineSettings settings;

    private final EngineOrders orders;

    private final StandInClient client = StandInClient.create();

    EngineOrderRunner(EngineSettings settings, EngineOrders orders) {
        this.settings = settings;
        this.orders = orders;
    }

    /**
     * Executes an accepted order and returns the engine to service, unless it was stopped meanwhile. If the weights
     * cannot be loaded, the role and version stay and the order has failed. Adapters are not loaded.
     */
    void run(JsonNode order, EngineBatch batch) {
        boolean succeeded;
        try {
            succeeded = loadWeightsIfRequested(order, batch);
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
        batch.returnToService(succeeded ? role : batch.role(), succeeded ? version : batch.version());
        orders.endOutstandingOrder(order.path("order_id").asText(), succeeded);
    }

    @Override
    public void close() {
        client.close();
    }

    /** Loads the weights if the order asks for them; returns false if it could not or the engine was stopped. */
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
