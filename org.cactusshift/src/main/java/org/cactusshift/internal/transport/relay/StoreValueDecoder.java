package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import org.cactusshift.internal.coordination.serving.ServingConfig;
import org.cactusshift.internal.coordination.serving.UpstreamEntry;

/** Decodes the configuration and the upstream entries in the platform's store. Makes no decisions. */
public interface StoreValueDecoder {
    /**
     * Returns the store key of the configuration.
     *
     * @return the key
     */
    String configKey();

    /**
     * Returns the key prefix of upstreams; the rest of a key is the upstream's id.
     *
     * @return the prefix
     */
    String upstreamPrefix();

    /**
     * Decodes a configuration.
     *
     * @param value the bytes
     * @return the configuration, or what is wrong with it
     */
    Either<String, ServingConfig> decodeConfig(byte[] value);

    /**
     * Decodes an upstream's entry.
     *
     * @param id the id in the key
     * @param value the bytes
     * @return the entry, or what is wrong with it
     */
    Either<String, UpstreamEntry> decodeUpstream(String id, byte[] value);
}
