package org.cactusshift.standin;

import java.io.IOException;

/** Starts and stops the upstreams of orders. */
public interface UpstreamLauncher {
    /**
     * Starts an upstream.
     *
     * @param failureDomain where it runs
     * @param service the service that it belongs to
     * @param reclaimable whether the platform may take it back
     * @return the upstream
     * @throws IOException if it can't be started
     */
    LaunchedUpstream launch(String failureDomain, String service, boolean reclaimable) throws IOException;

    /**
     * Stops an upstream.
     *
     * @param upstreamId the upstream
     */
    void release(String upstreamId);
}
