package org.cactusshift.config;

import java.util.List;
import java.util.Optional;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.SiteId;

/**
 * The settings of one process: its addresses, its failure domain and the platform's addresses.
 *
 * @param instanceId the instance
 * @param site the site
 * @param failureDomain the failure domain of the instance
 * @param callerAddress where callers connect, as {@code ADDRESS:PORT}
 * @param operatorAddress where operators and metrics scrapers connect
 * @param peerAddress where other nodes connect
 * @param peerAddresses peer addresses of other nodes known at the start; may be empty
 * @param storeAddresses addresses of the key-value service
 * @param instanceListAddress address of the list of instances
 * @param orderingAddress address of the interface for ordering upstreams
 * @param usageAddress address of the interface that takes usage reports
 * @param traceAddress address of the OTLP collector
 * @param tls certificates; plain text when absent
 * @param keyHashSecretHex the secret under which client keys are hashed, as hex
 * @param operatorKeyHash the hash of the operator key; operator changes are refused when absent
 */
public record NodeSettings(
        InstanceId instanceId,
        SiteId site,
        FailureDomainId failureDomain,
        String callerAddress,
        String operatorAddress,
        String peerAddress,
        List<String> peerAddresses,
        List<String> storeAddresses,
        Optional<String> instanceListAddress,
        Optional<String> orderingAddress,
        Optional<String> usageAddress,
        Optional<String> traceAddress,
        Optional<TlsSettings> tls,
        String keyHashSecretHex,
        Optional<String> operatorKeyHash) {
    /** Copies the lists. */
    public NodeSettings {
        peerAddresses = List.copyOf(peerAddresses);
        storeAddresses = List.copyOf(storeAddresses);
    }

    /** Returns a description without the secret, so that it can be logged. */
    @Override
    public String toString() {
        return "NodeSettings[" + instanceId + " of " + site + " in " + failureDomain + ", callers " + callerAddress
                + ", operators " + operatorAddress + ", peers " + peerAddress + "]";
    }
}
