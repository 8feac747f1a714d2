package org.cactusshift.config;

import java.util.List;
import java.util.Optional;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.SiteId;

/**
 * The settings of one node: its instance, failure domain and addresses, and the addresses of the platform's services.
 *
 * @param instanceId the instance
 * @param site the site
 * @param failureDomain the failure domain of the instance
 * @param callerAddress the listen address for callers, as {@code ADDRESS:PORT}
 * @param operatorAddress the listen address for operators and metrics scrapers
 * @param peerAddress the listen address for peers
 * @param peerAddresses the addresses of initial peers; may be empty
 * @param storeAddresses the addresses of the key-value store
 * @param instanceListAddress the address of the platform's list of instances, as {@code ADDRESS:PORT}; empty if the
 *     node uses none
 * @param orderingAddress the address of the platform's interface for ordering upstreams; empty if the node uses none
 * @param usageAddress the address of the interface that receives usage reports; empty if the node uses none
 * @param traceAddress the address of the OTLP collector; empty if the node uses none
 * @param tls the TLS certificates; empty for plain-text connections
 * @param keyHashSecretHex the HMAC key with which client keys are hashed, in hex
 * @param operatorKeyHash the keyed hash of the operator key, as {@code hmac-sha256:HEX}; empty means that changes by
 *     operators are refused
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

    /** Returns a description that is safe to log: it omits the secret and the hash of the operator key. */
    @Override
    public String toString() {
        return "NodeSettings[" + instanceId + " of " + site + " in " + failureDomain + ", callers " + callerAddress
                + ", operators " + operatorAddress + ", peers " + peerAddress + "]";
    }
}
