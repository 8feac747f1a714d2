package org.cactusshift.standin;

import java.io.IOException;

/** Starts and stops ordered upstreams. */
public interface UpstreamLauncher {
    /**
     * Starts an upstream.
     *
     * @param failureDomain the failure domain
     * @param service the service of the upstream
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
