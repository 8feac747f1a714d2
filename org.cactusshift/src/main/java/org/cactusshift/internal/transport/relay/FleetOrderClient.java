package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.serving.EngineStage;
import org.cactusshift.internal.coordination.serving.Upstream;

/** Orders engines from the platform, and orders to engines. */
public interface FleetOrderClient {
    /** What became of an order. */
    enum Result {
        /** It is carried out, or holds already. */
        ACCEPTED,
        /** It cannot be carried out now. */
        UNAVAILABLE,
        /** A newer holder of the duty was seen. */
        SUPERSEDED
    }

    /**
     * The holder of the duty under which an order is given.
     *
     * @param node the node
     * @param fencingNumber the number of its authority
     */
    record Holder(InstanceId node, long fencingNumber) {}

    /**
     * Orders a number of engines.
     *
     * @param holder the holder of the duty
     * @param service the service
     * @param domain the failure domain
     * @param reclaimable whether the number is of reclaimable engines
     * @param count the number
     * @param receiver receives the result
     */
    void orderEngines(
            Holder holder,
            ServiceId service,
            FailureDomainId domain,
            boolean reclaimable,
            int count,
            Consumer<Either<Failure, Result>> receiver);

    /**
     * Reads how many orders an engine has accepted since its start.
     *
     * @param engine the engine
     * @param receiver receives the number
     */
    void readAcceptedOrderCount(Upstream engine, Consumer<Either<Failure, Long>> receiver);

    /**
     * Orders an engine to change its stage.
     *
     * @param holder the holder of the duty
     * @param engine the engine
     * @param stage the new stage
     * @param acceptedOrders the orders that the engine must have accepted so far
     * @param receiver receives the result
     */
    void changeStage(
            Holder holder,
            Upstream engine,
            EngineStage stage,
            long acceptedOrders,
            Consumer<Either<Failure, Result>> receiver);
}
