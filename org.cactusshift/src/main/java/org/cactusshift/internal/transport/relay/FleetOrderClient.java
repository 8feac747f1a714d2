package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.serving.EngineStage;
import org.cactusshift.internal.coordination.serving.Upstream;

/**
 * Orders target numbers of engines from the platform, and changes of stage from single engines. Each receiver is called
 * exactly once, on the event loop. An order is not sent when its
 * holder has lost the duty by then, which is a failure without effect.
 */
public interface FleetOrderClient {
    /** The result of an order. */
    enum Result {
        /** The order was accepted, or its target state is already reached. */
        ACCEPTED,
        /** The order cannot be carried out now. */
        UNAVAILABLE,
        /** The recipient has seen a newer holder of the duty. */
        SUPERSEDED
    }

    /**
     * Orders a target number of engines; a number below the present one releases engines.
     *
     * @param holder the holder of the duty
     * @param service the service
     * @param domain the failure domain
     * @param reclaimable whether reclaimable or on-demand engines are ordered
     * @param count the target number, at least 0
     * @param receiver receives the result
     */
    void orderEngines(
            DutyCaller holder,
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
     * @param stage the new stage, prefill or decode
     * @param acceptedOrderCount the number of orders that the engine is expected to have accepted so far, as returned
     *     by {@link #readAcceptedOrderCount}
     * @param receiver receives the result
     */
    void changeStage(
            DutyCaller holder,
            Upstream engine,
            EngineStage stage,
            long acceptedOrderCount,
            Consumer<Either<Failure, Result>> receiver);
}
