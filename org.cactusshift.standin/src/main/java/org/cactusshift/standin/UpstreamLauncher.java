package org.cactusshift.standin;

import java.io.IOException;

/** Starts and releases ordered upstreams. */
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
     * Stops an upstream and removes it from the list of instances.
     *
     * @param upstreamId the upstream; an unknown one is ignored
     */
    void release(String upstreamId);
}
