package org.cactusshift.standin;

/** Stand-in for the store of model weights, which limits the rate of loads. Every version of every model exists. */
public final class StandInWeightStore implements HttpStandIn, StandInHandler {
    /** The size of the weights of every version. */
    private static final int WEIGHT_BYTES = 65_536;

    private static final int PATH_SEGMENTS = 4;

    private final StandInServer server;

    private final TokenBucket loadLimit;

    private StandInWeightStore(int port, double loadsPerSecond) {
        this.server = StandInServer.create(port, this);
        this.loadLimit = new TokenBucket(loadsPerSecond, System.nanoTime());
    }

    /**
     * Creates a store, which listens once it is started.
     *
     * @param port the port; 0 lets the operating system choose
     * @param loadsPerSecond the rate limit, in loads per second; 0 for none
     * @return the store
     */
    public static StandInWeightStore create(int port, double loadsPerSecond) {
        return new StandInWeightStore(port, loadsPerSecond);
    }

    @Override
    public StandInServer server() {
        return server;
    }

    @Override
    public StandInResponse handle(StandInRequest request) {
        if (!request.path().startsWith("/v1/weights/") || request.pathSegments().length != PATH_SEGMENTS) {
            return StandInResponse.error(StandInResponse.NOT_FOUND, "not_found");
        }
        if (!loadLimit.tryAcquire(1, System.nanoTime())) {
            return StandInResponse.error(StandInResponse.TOO_MANY_REQUESTS, "over_rate")
                    .withHeader("Retry-After", "1");
        }
        return StandInResponse.bytes(new byte[WEIGHT_BYTES]);
    }
}
